/** Orders to start and stop runs on one upstream. */
import {
  type ActiveRun,
  OrderNotSentError,
  type StartAnswer,
  type StartRefusal,
} from '../upstreams/upstream_port.js';
import type {HoldHistory} from './hold_orders.js';
import type {Run} from './job_table_types.js';
import type {LeaseClock} from './lease_clock.js';
import type {RunTable} from './run_table.js';
import {SESSION_TIMING} from './session_timing.js';
import type {SessionOptions} from './session_types.js';
import type {UpstreamSession} from './upstream_session.js';
import {sleep} from './waiting.js';

/** Parts of a session that its orders use. */
export interface OrderContext {
  readonly session: UpstreamSession;
  readonly options: SessionOptions;
  readonly runs: RunTable;
  readonly leaseClock: LeaseClock;
  /** Whether the session is closed, or its leases expired. */
  readonly hasEnded: () => boolean;
  /** Sends a hold that the upstream answers without waiting for an end. */
  readonly holdNow: () => Promise<void>;
  readonly holds: HoldHistory;
  /** Wakes the loop of holds, so that the session waits for ends. */
  readonly wakeHoldLoop: () => void;
}

/** Sends orders and determines the outcome of unanswered ones. */
export class RunOrders {
  /** Runs given up when the leases of the silent upstream expired. */
  private abandonedRuns: Pick<ActiveRun, 'task' | 'run'>[] = [];

  constructor(private readonly context: OrderContext) {}

  /** Sends the start order of a run; session events report the outcome. */
  async start(run: Run): Promise<void> {
    const {session, options, runs, leaseClock, wakeHoldLoop} = this.context;
    runs.add(run);
    wakeHoldLoop();
    const {task, number} = run;
    const leaseUntil = leaseClock.grantLease(performance.now()) ?? 0;
    let answer: StartAnswer;
    try {
      answer = await options.port.start(session.record, {
        token: options.token,
        timeoutMs: SESSION_TIMING.startMs,
        task: task.id,
        run: number,
        payload: task.job.admitted.payload,
        leaseUntil,
      });
    } catch (err) {
      if (err instanceof OrderNotSentError)
        return this.refuseRun(run, 'not-sent');
      if (runs.has(run) && run.phase === 'starting') await this.verifyRun(run);
      return;
    }
    this.answered(run, answer);
  }

  /** Stops a run; its end is reported in a list of ends or as a lost run. */
  async stop(run: Run): Promise<void> {
    if (!this.context.runs.has(run) || run.phase === 'stopping') return;
    run.phase = 'stopping';
    await this.repeatStopUntilAnswered(run);
  }

  /**
   * Stops a run that is not in the table, or keeps a delayed start order from
   * starting it. If the stop fails, it is repeated once a hold lists the run.
   */
  async forbidRun(active: Pick<ActiveRun, 'task' | 'run'>): Promise<void> {
    const {options, hasEnded} = this.context;
    while (!options.maySendOrders()) {
      await sleep(SESSION_TIMING.retryPauseMs);
      if (hasEnded()) return;
    }
    await this.sendStop(active).catch(() => undefined);
  }

  addAbandonedRun(run: Pick<ActiveRun, 'task' | 'run'>): void {
    this.abandonedRuns.push(run);
  }

  /** Keeps delayed orders from starting runs that were given up. */
  forbidAbandonedRuns(): void {
    const {abandonedRuns} = this;
    this.abandonedRuns = [];
    for (const each of abandonedRuns) void this.forbidRun(each);
  }

  private answered(run: Run, answer: StartAnswer): void {
    const {session, options, runs, leaseClock} = this.context;
    if (answer.type === 'other-life') {
      this.refuseRun(run, 'not-sent');
      options.events.otherProcess(session, undefined);
      return;
    }
    if (answer.clockMs !== undefined) {
      leaseClock.observeReading(answer.clockMs);
    }
    if (answer.type === 'refused') {
      if (answer.reason === 'older-run') void this.refuseOlderRun(run);
      else this.refuseRun(run, answer.reason);
      if (answer.reason === 'superseded') options.events.superseded(session);
      return;
    }
    if (runs.has(run) && run.phase === 'starting') {
      runs.confirmRun(run, answer.clockMs);
    }
  }

  private refuseRun(run: Run, reason: StartRefusal | 'not-sent'): void {
    const {runs, options} = this.context;
    if (!runs.has(run)) return;
    runs.remove(run);
    options.events.startRefused(run, reason);
  }

  /**
   * Handles the refusal of a run number that the upstream takes as used. The
   * task may have ended there under it, so its ends are listed before the task
   * starts under a higher number.
   */
  private async refuseOlderRun(run: Run): Promise<void> {
    const {holdNow, holds, runs, hasEnded} = this.context;
    const refusedAt = performance.now();
    await holdNow();
    while (runs.has(run) && holds.completeSentAt < refusedAt && !hasEnded()) {
      await sleep(SESSION_TIMING.retryPauseMs);
    }
    if (!hasEnded()) this.refuseRun(run, 'older-run');
  }

  /**
   * Determines whether a run was started, and if not, stops it so that a
   * delayed start order has no effect.
   */
  async verifyRun(run: Run): Promise<void> {
    const {holdNow, holds, hasEnded} = this.context;
    run.phase = 'uncertain';
    run.task.job.started = true;
    const verifyingSince = performance.now();
    await holdNow();
    // Without an answer, waits for one of the session's regular holds.
    while (
      this.isUncertain(run) &&
      holds.answeredSentAt < verifyingSince &&
      !hasEnded()
    ) {
      await sleep(SESSION_TIMING.retryPauseMs);
    }
    if (!this.isUncertain(run) || hasEnded()) return;
    run.phase = 'stopping';
    await this.repeatStopUntilAnswered(run);
  }

  private isUncertain(run: Run): boolean {
    return this.context.runs.has(run) && run.phase === 'uncertain';
  }

  private async repeatStopUntilAnswered(run: Run): Promise<void> {
    const {options, runs, hasEnded, holdNow, wakeHoldLoop} = this.context;
    while (runs.has(run) && !hasEnded()) {
      if (!options.maySendOrders()) {
        await sleep(SESSION_TIMING.retryPauseMs);
        continue;
      }
      try {
        await this.sendStop({task: run.task.id, run: run.number});
        run.stopAckedAt = performance.now();
        await holdNow();
        wakeHoldLoop();
        return;
      } catch {
        // Logged with the change of the contact state that follows.
        await sleep(SESSION_TIMING.retryPauseMs);
      }
    }
  }

  private async sendStop(
    target: Pick<ActiveRun, 'task' | 'run'>,
  ): Promise<void> {
    const {session, options} = this.context;
    const answer = await options.port.stop(session.record, {
      token: options.token,
      timeoutMs: SESSION_TIMING.stopMs,
      ...target,
    });
    if (answer.type === 'superseded') options.events.superseded(session);
    if (answer.type === 'other-life') {
      options.events.otherProcess(session, undefined);
    }
  }
}
