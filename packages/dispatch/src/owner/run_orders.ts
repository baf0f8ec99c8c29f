/** Orders to start and stop runs on one upstream. */
import {
  type ActiveRun,
  OrderNotSentError,
  type StartAnswer,
  type StartRefusal,
} from '../upstreams/upstream_port.js';
import type {Run} from './job_table_types.js';
import type {LeaseClock} from './lease_clock.js';
import type {RunTable} from './run_table.js';
import {SESSION_TIMING} from './session_timing.js';
import type {SessionOptions} from './session_types.js';
import type {UpstreamSession} from './upstream_session.js';
import {sleep} from './waiting.js';

/** What orders need of their session. */
export interface OrderContext {
  readonly session: UpstreamSession;
  readonly options: SessionOptions;
  readonly runs: RunTable;
  readonly clock: () => LeaseClock | null;
  /** Whether orders are pointless: nothing can run there any more. */
  readonly isOver: () => boolean;
  /** Asks for the runs at once. */
  readonly look: () => Promise<void>;
  /** When the last hold was sent whose answer has been taken. */
  readonly answeredHoldAt: () => number;
  /** Makes the session wait for ends. */
  readonly follow: () => void;
}

/** Gives orders, and finds out what became of unanswered ones. */
export class RunOrders {
  constructor(private readonly context: OrderContext) {}

  /** Orders a run; the session's events tell what becomes of it. */
  async start(run: Run): Promise<void> {
    const {session, options, runs, clock, follow} = this.context;
    runs.add(run);
    follow();
    const {task, number} = run;
    const leaseUntil = clock()?.grant(performance.now()) ?? 0;
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
      if (err instanceof OrderNotSentError) return this.refuse(run, 'not-sent');
      if (runs.has(run) && run.phase === 'starting') await this.verify(run);
      return;
    }
    this.answered(run, answer);
  }

  /** Ends a run; the list of ends or a lost run tells when it is over. */
  async stop(run: Run): Promise<void> {
    if (!this.context.runs.has(run) || run.phase === 'stopping') return;
    run.phase = 'stopping';
    await this.untilStopped(run);
  }

  /** Forbids a run that the table doesn't hold; the next hold repeats it. */
  async forbid(active: Pick<ActiveRun, 'task' | 'run'>): Promise<void> {
    const {options, isOver} = this.context;
    while (!options.maySendOrders()) {
      await sleep(SESSION_TIMING.retryMs);
      if (isOver()) return;
    }
    await this.sendStop(active).catch(() => undefined);
  }

  private answered(run: Run, answer: StartAnswer): void {
    const {session, options, runs, clock} = this.context;
    if (answer.type === 'other-life') {
      this.refuse(run, 'not-sent');
      options.events.otherProcess(session, undefined);
      return;
    }
    if (answer.clockMs !== undefined) {
      clock()?.observe(answer.clockMs, performance.now());
    }
    if (answer.type === 'refused') {
      this.refuse(run, answer.reason);
      if (answer.reason === 'superseded') options.events.superseded(session);
      return;
    }
    if (runs.has(run) && run.phase === 'starting') {
      runs.confirmRun(run, answer.clockMs);
    }
  }

  private refuse(run: Run, reason: StartRefusal | 'not-sent'): void {
    const {runs, options} = this.context;
    if (!runs.has(run)) return;
    runs.remove(run);
    options.events.startRefused(run, reason);
  }

  /** Finds out whether a run began, and forbids it if not. */
  async verify(run: Run): Promise<void> {
    const {look, answeredHoldAt, isOver} = this.context;
    run.phase = 'uncertain';
    run.task.job.started = true;
    const since = performance.now();
    await look();
    // Where that had no answer, one of the session's own holds has it.
    while (this.isUncertain(run) && answeredHoldAt() < since && !isOver()) {
      await sleep(SESSION_TIMING.retryMs);
    }
    if (!this.isUncertain(run) || isOver()) return;
    run.phase = 'stopping';
    await this.untilStopped(run);
  }

  private isUncertain(run: Run): boolean {
    return this.context.runs.has(run) && run.phase === 'uncertain';
  }

  private async untilStopped(run: Run): Promise<void> {
    const {options, runs, isOver, look, follow} = this.context;
    while (runs.has(run) && !isOver()) {
      if (!options.maySendOrders()) {
        await sleep(SESSION_TIMING.retryMs);
        continue;
      }
      try {
        await this.sendStop({task: run.task.id, run: run.number});
        run.stopAckedAt = performance.now();
        await look();
        follow();
        return;
      } catch {
        // Logged with the change of contact that follows.
        await sleep(SESSION_TIMING.retryMs);
      }
    }
  }

  private async sendStop(what: Pick<ActiveRun, 'task' | 'run'>): Promise<void> {
    const {session, options} = this.context;
    const answer = await options.port.stop(session.record, {
      token: options.token,
      timeoutMs: SESSION_TIMING.stopMs,
      ...what,
    });
    if (answer.type === 'superseded') options.events.superseded(session);
    if (answer.type === 'other-life') {
      options.events.otherProcess(session, undefined);
    }
  }
}
