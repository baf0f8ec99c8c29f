/** The owner's contact with one life of an upstream. */
import type {
  ActiveRun,
  HoldAnswer,
  RunEnd,
} from '../upstreams/upstream_port.js';
import {upstreamKey, type UpstreamRecord} from '../upstreams/upstream_types.js';
import type {Run} from './board_types.js';
import {EndCommits} from './end_commits.js';
import {EndsCursor} from './ends_cursor.js';
import {LeaseClock} from './lease_clock.js';
import {PendingStarts} from './pending_starts.js';
import {RunOrders} from './run_orders.js';
import {RunTable} from './run_table.js';
import {SESSION_TIMING, SILENT_AFTER_FAILURES} from './session_timing.js';
import type {Contact, SessionOptions} from './session_types.js';
import {sleep, Wakeup} from './waiting.js';

/** Runs, lease and list of ends of one life of an upstream. */
export class UpstreamSession {
  readonly key: string;
  readonly runs: RunTable;
  record: UpstreamRecord;
  /** Sequence of the newest announcement. */
  sequence = -1;
  /** When anything was heard of the upstream. */
  heardAt = performance.now();
  /** Set when the upstream deregistered: its leases are left to run out. */
  retiring = false;
  /** Time before which no task is offered, after a refusal for room. */
  fullUntil = 0;
  private readonly orders: RunOrders;
  private readonly wakeup = new Wakeup();
  private state: Contact = 'fencing';
  private clock: LeaseClock | null;
  private failures = 0;
  private readonly cursor: EndsCursor;
  /** Runs listed last that the session doesn't track. */
  private strays = 0;
  private readonly commits = new EndCommits(upTo =>
    this.cursor.noteCommitted(upTo),
  );
  private readonly starts = new PendingStarts();
  /** When the last hold was sent that this life has answered. */
  private answeredHoldAt = Number.NEGATIVE_INFINITY;
  /** Runs given up while the upstream was silent. */
  private abandoned: Pick<ActiveRun, 'task' | 'run'>[] = [];
  private closed = false;

  constructor(private readonly options: SessionOptions) {
    const {record, clockMs, leaseMs, acknowledged} = options;
    this.record = record;
    this.key = upstreamKey(record);
    this.runs = new RunTable(record);
    this.cursor = new EndsCursor(acknowledged);
    this.clock =
      clockMs === undefined
        ? null
        : new LeaseClock(clockMs, performance.now(), leaseMs);
    this.orders = new RunOrders({
      session: this,
      options,
      runs: this.runs,
      clock: () => this.clock,
      isOver: () => this.closed || this.state === 'lost',
      look: () => this.look(),
      answeredHoldAt: () => this.answeredHoldAt,
      follow: () => this.wakeup.wake(),
    });
    void this.loop();
  }

  get contact(): Contact {
    return this.state;
  }

  /** Whether new runs may be started. */
  get accepts(): boolean {
    return this.state === 'live' && this.failures === 0 && this.isStaying;
  }

  /** Whether runs are expected here, now or after a moment without contact. */
  get isExpected(): boolean {
    return (this.state === 'live' || this.state === 'silent') && this.isStaying;
  }

  private get isStaying(): boolean {
    return !this.record.leaving && !this.retiring && !this.closed;
  }

  /** Takes a changed announcement of the same life. */
  update(record: UpstreamRecord): void {
    this.record = record;
    this.runs.use.update(record);
  }

  /** Takes a reading of the clock from an announcement. */
  heard(clockMs: number): void {
    this.heardAt = performance.now();
    this.observeClock(clockMs);
    if (this.state === 'lost') this.wakeup.wake();
  }

  /** Adds a run that was found on the upstream. */
  adopt(run: Run): void {
    this.runs.add(run);
    this.wakeup.wake();
  }

  /** Orders a run; the events tell what becomes of it. */
  start(run: Run): Promise<void> {
    const order = () => this.orders.start(run);
    return run.task.job.admitted.durable ? this.starts.track(order) : order();
  }

  /** Adds a run that may have begun, and finds out whether it has. */
  verify(run: Run): Promise<void> {
    this.adopt(run);
    return this.orders.verify(run);
  }

  /** Ends a run; the events tell when it is over. */
  stop(run: Run): Promise<void> {
    return this.orders.stop(run);
  }

  /** Forbids a run that this session doesn't track. */
  forbid(active: Pick<ActiveRun, 'task' | 'run'>): Promise<void> {
    return this.orders.forbid(active);
  }

  /** Ends the session; its runs are the caller's to handle. */
  close(): void {
    if (this.closed) return;
    this.closed = true;
    this.wakeup.wake();
    this.options.port.releaseUpstream(this.record);
  }

  private async loop(): Promise<void> {
    while (!this.closed) {
      if (this.isIdle) await this.wakeup.wait();
      if (this.closed) return;
      await this.commits.settled(SESSION_TIMING.renewMs);
      if (this.closed || !this.options.mayOrder()) {
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
      this.strays === 0 &&
      this.cursor.isIdle
    );
  }

  private async look(): Promise<void> {
    if (!this.closed && this.options.mayOrder()) await this.hold(0);
  }

  /** One hold; returns whether it was answered. */
  private async hold(waitMs: number): Promise<boolean> {
    const sentAt = performance.now();
    const mayBeNewLife = this.starts.mayFollow(this.answeredHoldAt);
    const acknowledged = mayBeNewLife ? 0 : this.cursor.due;
    let answer: HoldAnswer;
    try {
      answer = await this.options.port.hold(this.record, {
        token: this.options.token,
        timeoutMs: waitMs + SESSION_TIMING.holdMs,
        acknowledged,
        waitMs,
        ...this.extension(sentAt),
      });
    } catch (err) {
      if (!this.closed) this.holdFailed(err);
      return false;
    }
    if (this.closed) return answer.type === 'held';
    this.answered(answer, sentAt);
    const isHeld = answer.type === 'held';
    if (isHeld && !this.closed) this.cursor.noteTold(acknowledged);
    return isHeld;
  }

  /** Extends the leases unless they are to run out. */
  private extension(now: number): {readonly leaseUntil?: number} {
    const lost =
      this.state !== 'fencing' && this.failures >= SILENT_AFTER_FAILURES;
    if (!this.clock || this.retiring || lost) return {};
    return {leaseUntil: this.clock.grant(now)};
  }

  private holdFailed(err: unknown): void {
    this.failures++;
    if (this.failures < SILENT_AFTER_FAILURES || this.state !== 'live') return;
    const cause = err instanceof Error ? err.message : String(err);
    this.setContact('silent', cause);
  }

  /** Waits before the next hold, but not past the end of the leases. */
  private async pauseAfterFailure(): Promise<void> {
    if (this.state === 'lost') {
      const {lostRetryMs} = SESSION_TIMING;
      await Promise.race([sleep(lostRetryMs), this.wakeup.wait()]);
      return;
    }
    if (this.failures < SILENT_AFTER_FAILURES) return;
    const left = (this.clock?.overAt ?? 0) - performance.now();
    if (this.state === 'silent' && left <= 0) this.leasesOver();
    else await sleep(Math.max(1, Math.min(SESSION_TIMING.retryMs, left)));
  }

  private leasesOver(): void {
    this.setContact('lost', 'leases over');
    for (const run of this.runs.all) {
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
    const {startedAt, clockMs} = answer;
    if (startedAt !== undefined && startedAt !== this.record.startedAt) {
      return events.otherLife(this, startedAt);
    }
    this.heardAt = performance.now();
    this.answeredHoldAt = Math.max(this.answeredHoldAt, sentAt);
    this.failures = 0;
    this.observeClock(clockMs);
    const wasFencing = this.state === 'fencing';
    if (this.state !== 'live') this.setContact('live', 'answered');
    if (this.abandoned.length > 0) this.forbidAbandoned();
    if (!this.runs.isOutdated(answer)) {
      this.takeEnds(answer.ends, clockMs);
      this.takeActive(answer, sentAt);
    }
    if (wasFencing) events.fenced(this);
    events.progressed(this);
  }

  private observeClock(clockMs: number): void {
    const now = performance.now();
    this.clock?.observe(clockMs, now);
    this.clock ??= new LeaseClock(clockMs, now, this.options.leaseMs);
  }

  private takeEnds(all: readonly RunEnd[], clockMs: number): void {
    const ends = this.cursor.take(all);
    this.runs.takeEnds(ends, clockMs);
    if (ends.length === 0) return;
    const {events} = this.options;
    this.commits.add(this.cursor.seenUpTo, earlier =>
      events.ended(this, ends, earlier),
    );
  }

  private takeActive(
    {active, clockMs}: Extract<HoldAnswer, {type: 'held'}>,
    sentAt: number,
  ): void {
    const {begun, found, gone} = this.runs.compare(active, sentAt, clockMs);
    for (const run of begun) this.runs.confirm(run);
    this.strays = found.length;
    for (const each of found) this.options.events.foundRun(this, each);
    for (const {run, cause} of gone) this.loseRun(run, cause);
  }

  private loseRun(run: Run, cause: string): void {
    this.runs.remove(run);
    this.options.events.runLost(run, cause);
  }

  private setContact(to: Contact, cause: string): void {
    const from = this.state;
    this.state = to;
    this.options.events.contactChanged(this, from, cause);
  }
}
