/** The owner's contact with one life of an upstream. */
import {taskKey} from '../jobs/job_types.js';
import {
  type ActiveRun,
  type HoldAnswer,
  OrderNotSentError,
  type RunEnd,
  type StartAnswer,
  type StartRefusal,
  type UpstreamPort,
} from '../upstreams/upstream_port.js';
import {lifeKey, type UpstreamRecord} from '../upstreams/upstream_types.js';
import type {Run} from './board_types.js';
import {CapacityUse} from './capacity_use.js';
import {LeaseClock} from './lease_clock.js';
import {SESSION_TIMING} from './session_timing.js';
import {sleep, Wakeup} from './waiting.js';

/** Contact with an upstream. */
export type Contact =
  /** Has not answered this owner yet. */
  | 'fencing'
  | 'live'
  /** Two orders in a row had no answer; its leases are left to run out. */
  | 'silent'
  /** Its leases are over, so nothing of this owner runs there. */
  | 'lost';

/** What a session reports; methods must not throw. */
export interface SessionEvents {
  /** First answer under this owner's token. */
  fenced(session: UpstreamSession): void;
  contactChanged(session: UpstreamSession, from: Contact, cause: string): void;
  /**
   * Ends that were not seen before; resolves with whether they were committed
   * and may be acknowledged.
   */
  ended(session: UpstreamSession, ends: readonly RunEnd[]): Promise<boolean>;
  /** A run ended without an entry in the list of ends. */
  runLost(run: Run, cause: string): void;
  startRefused(run: Run, reason: StartRefusal | 'not-sent'): void;
  started(run: Run): void;
  /** A run that this session did not start. */
  foundRun(session: UpstreamSession, active: ActiveRun): void;
  progressed(session: UpstreamSession): void;
  /** A newer life answered at the address. */
  otherLife(session: UpstreamSession, startedAt: number | undefined): void;
  /** A higher token is in force on the upstream. */
  superseded(session: UpstreamSession): void;
}

/** Options of a session. */
export interface SessionOptions {
  readonly record: UpstreamRecord;
  /** Position up to which its ends are part of the replicated state. */
  readonly acknowledged: number;
  /** A reading of its clock; unknown after a change of the leader. */
  readonly clockMs: number | undefined;
  readonly token: number;
  /** Longest lease in milliseconds. */
  readonly leaseMs: number;
  readonly port: UpstreamPort;
  readonly events: SessionEvents;
  /** Whether this process may give orders now. */
  readonly mayOrder: () => boolean;
}

/** Runs, lease and list of ends of one life of an upstream. */
export class UpstreamSession {
  readonly key: string;
  readonly runs = new Map<string, Run>();
  readonly use: CapacityUse;
  record: UpstreamRecord;
  /** Sequence of the newest announcement. */
  sequence = -1;
  /** When anything was heard of the upstream. */
  heardAt = performance.now();
  /** Set when the upstream deregistered: its leases are left to run out. */
  retiring = false;
  /** Time before which no task is offered, after a refusal for room. */
  fullUntil = 0;
  private state: Contact = 'fencing';
  private clock: LeaseClock | null;
  private failures = 0;
  private seen: number;
  private acknowledged: number;
  private committing: Promise<void> | null = null;
  private readonly wakeup = new Wakeup();
  /** Runs given up while the upstream was silent. */
  private abandoned: Pick<ActiveRun, 'task' | 'run'>[] = [];
  private closed = false;

  constructor(private readonly options: SessionOptions) {
    const {record, clockMs, leaseMs, acknowledged} = options;
    this.record = record;
    this.key = lifeKey(record);
    this.use = new CapacityUse(record);
    this.seen = acknowledged;
    this.acknowledged = acknowledged;
    this.clock =
      clockMs === undefined
        ? null
        : new LeaseClock(clockMs, performance.now(), leaseMs);
    void this.loop();
  }

  get contact(): Contact {
    return this.state;
  }

  /** Whether new runs may be started. */
  get accepts(): boolean {
    return (
      this.state === 'live' &&
      this.failures === 0 &&
      !this.record.leaving &&
      !this.retiring &&
      !this.closed
    );
  }

  /** Takes a reading of the clock from an announcement. */
  heard(clockMs: number): void {
    const now = performance.now();
    this.heardAt = now;
    this.clock?.observe(clockMs, now);
    this.clock ??= new LeaseClock(clockMs, now, this.options.leaseMs);
    if (this.state === 'lost') this.wakeup.wake();
  }

  /** Adds a run that was found on the upstream. */
  adopt(run: Run): void {
    this.addRun(run);
    this.wakeup.wake();
  }

  /** Orders a run; the events tell what becomes of it. */
  async start(run: Run): Promise<void> {
    this.addRun(run);
    this.wakeup.wake();
    const {task, number} = run;
    const leaseUntil = this.clock?.grant(performance.now()) ?? 0;
    let answer: StartAnswer;
    try {
      answer = await this.options.port.start(this.record, {
        token: this.options.token,
        timeoutMs: SESSION_TIMING.orderMs,
        task: task.id,
        run: number,
        payload: task.job.admitted.payload,
        leaseUntil,
      });
    } catch (err) {
      if (err instanceof OrderNotSentError) return this.refuse(run, 'not-sent');
      return this.resolveUncertain(run);
    }
    this.startAnswered(run, answer);
  }

  /** Ends a run; the list of ends or a lost run tells when it is over. */
  async stop(run: Run): Promise<void> {
    if (!this.has(run) || run.phase === 'stopping') return;
    run.phase = 'stopping';
    await this.orderStop(run);
  }

  /** Forbids a run that this session doesn't track. */
  async forbid(active: Pick<ActiveRun, 'task' | 'run'>): Promise<void> {
    await this.sendStop(active).catch(() => undefined);
  }

  /** Ends the session; its runs are the caller's to handle. */
  close(): void {
    if (this.closed) return;
    this.closed = true;
    this.wakeup.wake();
    this.options.port.release(this.record);
  }

  private startAnswered(run: Run, answer: StartAnswer): void {
    if (answer.type === 'started') {
      this.clock?.observe(answer.clockMs, performance.now());
      if (!this.has(run) || run.phase !== 'starting') return;
      this.confirm(run);
      this.options.events.started(run);
      return;
    }
    if (answer.type === 'other-life') {
      this.refuse(run, 'not-sent');
      this.options.events.otherLife(this, undefined);
      return;
    }
    if (answer.clockMs !== undefined) {
      this.clock?.observe(answer.clockMs, performance.now());
    }
    this.refuse(run, answer.reason);
    if (answer.reason === 'superseded') this.options.events.superseded(this);
  }

  private refuse(run: Run, reason: StartRefusal | 'not-sent'): void {
    if (!this.has(run)) return;
    this.removeRun(run);
    this.options.events.startRefused(run, reason);
  }

  /** Finds out whether an unanswered start began, and forbids it if not. */
  private async resolveUncertain(run: Run): Promise<void> {
    if (!this.has(run) || run.phase !== 'starting') return;
    run.phase = 'uncertain';
    await this.look();
    if (!this.has(run) || run.phase !== 'uncertain') return;
    run.phase = 'stopping';
    await this.orderStop(run);
  }

  private async orderStop(run: Run): Promise<void> {
    while (this.has(run) && this.state !== 'lost' && !this.closed) {
      try {
        await this.sendStop({task: run.task.id, run: run.number});
        run.stopAckedAt = performance.now();
        await this.look();
        this.wakeup.wake();
        return;
      } catch {
        // The contact state and its log line come from the hold loop.
        await sleep(SESSION_TIMING.retryMs);
      }
    }
  }

  private async sendStop(what: Pick<ActiveRun, 'task' | 'run'>): Promise<void> {
    const {port, token} = this.options;
    const answer = await port.stop(this.record, {
      token,
      timeoutMs: SESSION_TIMING.orderMs,
      ...what,
    });
    if (answer.type === 'superseded') this.options.events.superseded(this);
    if (answer.type === 'other-life') {
      this.options.events.otherLife(this, undefined);
    }
  }

  private async loop(): Promise<void> {
    while (!this.closed) {
      if (this.isIdle) await this.wakeup.wait();
      if (this.closed) return;
      if (this.committing) {
        await Promise.race([this.committing, sleep(SESSION_TIMING.renewMs)]);
      }
      if (!this.options.mayOrder()) {
        await sleep(SESSION_TIMING.retryMs);
        continue;
      }
      const waits = this.state === 'live' && this.failures === 0;
      if (!(await this.hold(waits ? SESSION_TIMING.holdWaitMs : 0))) {
        await this.pauseAfterFailure();
      }
    }
  }

  private get isIdle(): boolean {
    return (
      this.state === 'live' &&
      this.failures === 0 &&
      this.runs.size === 0 &&
      this.seen === this.acknowledged
    );
  }

  private async look(): Promise<void> {
    if (this.options.mayOrder()) await this.hold(0);
  }

  /** One hold; returns whether it was answered. */
  private async hold(waitMs: number): Promise<boolean> {
    const sentAt = performance.now();
    const extend =
      this.clock &&
      !this.retiring &&
      (this.failures < 2 || this.state === 'fencing');
    let answer: HoldAnswer;
    try {
      answer = await this.options.port.hold(this.record, {
        token: this.options.token,
        timeoutMs: waitMs + SESSION_TIMING.orderMs,
        acknowledged: this.acknowledged,
        waitMs,
        ...(extend && this.clock ? {leaseUntil: this.clock.grant(sentAt)} : {}),
      });
    } catch (err) {
      if (!this.closed) this.holdFailed(err);
      return false;
    }
    if (!this.closed) this.answered(answer, sentAt);
    return answer.type === 'held';
  }

  private holdFailed(err: unknown): void {
    this.failures++;
    const cause = err instanceof Error ? err.message : String(err);
    if (this.failures >= 2 && this.state === 'live') {
      this.setContact('silent', cause);
    }
  }

  /** Waits before the next hold, but not past the end of the leases. */
  private async pauseAfterFailure(): Promise<void> {
    if (this.state === 'silent' || this.retiring) {
      const left = (this.clock?.overAt ?? 0) - performance.now();
      if (left <= 0 && this.state !== 'lost') this.leasesOver();
      else if (left > 0) return sleep(Math.min(SESSION_TIMING.retryMs, left));
    }
    if (this.failures > 1) {
      await Promise.race([
        sleep(
          this.state === 'lost'
            ? SESSION_TIMING.lostRetryMs
            : SESSION_TIMING.retryMs,
        ),
        this.state === 'lost' ? this.wakeup.wait() : never(),
      ]);
    }
  }

  private leasesOver(): void {
    this.setContact('lost', 'leases over');
    for (const run of [...this.runs.values()]) {
      this.abandoned.push({task: run.task.id, run: run.number});
      this.loseRun(run, 'lease over on a silent upstream');
    }
  }

  /** Keeps delayed orders from starting runs that were given up. */
  private forbidAbandoned(): void {
    const {abandoned} = this;
    this.abandoned = [];
    for (const each of abandoned) void this.forbid(each);
  }

  private answered(answer: HoldAnswer, sentAt: number): void {
    const {events} = this.options;
    if (answer.type === 'superseded') return events.superseded(this);
    if (answer.type === 'other-life') return events.otherLife(this, undefined);
    const {startedAt} = answer;
    if (startedAt !== undefined && startedAt !== this.record.startedAt) {
      return events.otherLife(this, startedAt);
    }
    const now = performance.now();
    this.heardAt = now;
    this.failures = 0;
    this.clock?.observe(answer.clockMs, now);
    this.clock ??= new LeaseClock(answer.clockMs, now, this.options.leaseMs);
    const wasFencing = this.state === 'fencing';
    if (this.state !== 'live') this.setContact('live', 'answered');
    if (this.abandoned.length > 0) this.forbidAbandoned();
    this.takeEnds(answer.ends);
    this.compare(answer.active, sentAt);
    if (wasFencing) events.fenced(this);
    events.progressed(this);
  }

  private takeEnds(all: readonly RunEnd[]): void {
    const ends = all.filter(end => end.sequence > this.seen);
    if (ends.length === 0) return;
    this.seen = Math.max(...ends.map(end => end.sequence));
    for (const end of ends) {
      const run = this.runs.get(taskKey(end.task));
      if (run?.number === end.run) this.removeRun(run);
    }
    const upTo = this.seen;
    const committed = this.options.events.ended(this, ends).then(ok => {
      if (!ok) return;
      this.acknowledged = Math.max(this.acknowledged, upTo);
      if (this.committing === committed) this.committing = null;
    });
    this.committing = committed;
  }

  /** Compares the runs known here with those that the upstream lists. */
  private compare(active: readonly ActiveRun[], sentAt: number): void {
    const listed = new Set<Run>();
    for (const each of active) {
      const run = this.runs.get(taskKey(each.task));
      if (run?.number !== each.run) {
        this.options.events.foundRun(this, each);
        continue;
      }
      listed.add(run);
      run.percent = each.percent;
      if (run.phase === 'starting' || run.phase === 'uncertain') {
        this.confirm(run);
        this.options.events.started(run);
      }
    }
    for (const run of [...this.runs.values()]) {
      if (listed.has(run)) continue;
      const confirmed = run.phase === 'running' && run.confirmedAt < sentAt;
      const stopped = run.phase === 'stopping' && run.stopAckedAt < sentAt;
      if (confirmed) this.loseRun(run, 'not listed by the upstream');
      if (stopped) this.loseRun(run, 'stopped before it began');
    }
  }

  private confirm(run: Run): void {
    run.phase = 'running';
    run.confirmedAt = performance.now();
  }

  private loseRun(run: Run, cause: string): void {
    this.removeRun(run);
    this.options.events.runLost(run, cause);
  }

  private setContact(to: Contact, cause: string): void {
    const from = this.state;
    this.state = to;
    this.options.events.contactChanged(this, from, cause);
  }

  private has(run: Run): boolean {
    return this.runs.get(run.task.key) === run;
  }

  private addRun(run: Run): void {
    this.runs.set(run.task.key, run);
    this.use.add(run.task.step);
  }

  private removeRun(run: Run): void {
    this.runs.delete(run.task.key);
    this.use.remove(run.task.step);
  }
}

function never(): Promise<never> {
  return new Promise(() => undefined);
}
