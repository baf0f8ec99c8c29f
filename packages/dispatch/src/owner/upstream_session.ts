/** The owner's session with one incarnation of an upstream. */
import type {
  ActiveRun,
  HeldAnswer,
  HoldAnswer,
  RunEnd,
} from '../upstreams/upstream_port.js';
import {upstreamKey, type UpstreamRecord} from '../upstreams/upstream_types.js';
import {EndCommits} from './end_commits.js';
import {EndsCursor} from './ends_cursor.js';
import {HoldHistory, HoldOrders} from './hold_orders.js';
import type {Run} from './job_table_types.js';
import {LeaseClock} from './lease_clock.js';
import {PendingStarts} from './pending_starts.js';
import {RunOrders} from './run_orders.js';
import {RunTable} from './run_table.js';
import {MAX_FAILED_HOLDS, SESSION_TIMING} from './session_timing.js';
import type {Contact, SessionOptions} from './session_types.js';
import {sleep, Wakeup} from './waiting.js';

/** Sends orders to the upstream, and tracks its runs, leases and run ends. */
export class UpstreamSession {
  readonly key: string;
  readonly runs: RunTable;
  record: UpstreamRecord;
  /** Sequence number of the newest announcement. */
  sequence = -1;
  /** When the upstream last answered or announced itself. */
  lastContactAt = performance.now();
  /** Set when the upstream deregistered: its leases are no longer extended. */
  deregistered = false;
  /** When tasks may be offered again after a refusal for lack of room. */
  noRoomUntil = 0;
  private readonly orders: RunOrders;
  private readonly holdOrders: HoldOrders;
  private readonly wakeup = new Wakeup();
  private state: Contact = 'fencing';
  private readonly leaseClock: LeaseClock;
  private failedHolds = 0;
  private readonly endsCursor: EndsCursor;
  private untrackedRunCount = 0;
  private readonly commits = new EndCommits(upTo =>
    this.endsCursor.markCommitted(upTo),
  );
  private readonly starts = new PendingStarts();
  private readonly holds = new HoldHistory();
  private closed = false;

  constructor(private readonly options: SessionOptions) {
    const {record, clockMs, acknowledged} = options;
    this.record = record;
    this.key = upstreamKey(record);
    this.runs = new RunTable(record);
    this.endsCursor = new EndsCursor(acknowledged);
    this.leaseClock = new LeaseClock(options.leaseMs);
    if (clockMs !== undefined) this.leaseClock.observeReading(clockMs);
    const {leaseClock, endsCursor, starts, holds} = this;
    const shared = {session: this, options, leaseClock, holds};
    this.holdOrders = new HoldOrders({
      ...shared,
      endsCursor,
      starts,
      isClosed: () => this.closed,
      mayExtendLeases: () => this.mayExtendLeases,
      getFailedCount: () => this.failedHolds,
      onAnswer: (answer, sentAt) => this.answered(answer, sentAt),
      onFailure: err => this.handleHoldFailure(err),
    });
    this.orders = new RunOrders({
      ...shared,
      runs: this.runs,
      hasEnded: () => this.closed || this.state === 'lost',
      holdNow: () => this.holdNow(),
      wakeHoldLoop: () => this.wakeup.wake(),
    });
    void this.runHoldLoop();
  }

  get contactState(): Contact {
    return this.state;
  }

  get acceptsRuns(): boolean {
    return this.state === 'live' && this.failedHolds === 0 && this.isUsable;
  }

  /** Whether its capacity counts in its pool, even while briefly silent. */
  get countsAsCapacity(): boolean {
    return (this.state === 'live' || this.state === 'silent') && this.isUsable;
  }

  /** Whether the upstream has answered, but not listed all run ends yet. */
  get isListingEnds(): boolean {
    const answers = this.state === 'live' || this.state === 'silent';
    return answers && !this.closed && !this.holds.hasCompleteList;
  }

  /** Whether no task may start there by an operator's order. */
  get isEvacuated(): boolean {
    return this.options.evacuations.isEvacuated(this.record.dataCentre);
  }

  private get isUsable(): boolean {
    const {leaving} = this.record;
    return !leaving && !this.deregistered && !this.closed && !this.isEvacuated;
  }

  /** Applies a changed announcement of the same incarnation. */
  updateRecord(record: UpstreamRecord): void {
    this.record = record;
    this.runs.capacityUse.update(record);
  }

  observeAnnouncement(clockMs: number): void {
    this.lastContactAt = performance.now();
    this.leaseClock.observeReading(clockMs);
    if (this.state === 'lost') this.wakeup.wake();
  }

  /** Adds a run that was found on the upstream. */
  adoptRun(run: Run): void {
    this.runs.add(run);
    this.wakeup.wake();
  }

  /** Sends the start order of a run; events report the outcome. */
  start(run: Run): Promise<void> {
    const order = () => this.orders.start(run);
    return run.task.job.admitted.durable ? this.starts.track(order) : order();
  }

  /** Determines whether an order to an earlier incarnation started a run. */
  verifyRun(run: Run): Promise<void> {
    const {maxLeaseMs} = this.options;
    this.leaseClock.expectEarlierLease(performance.now(), maxLeaseMs);
    this.adoptRun(run);
    return this.orders.verifyRun(run);
  }

  /** Stops a run; an event reports its end. */
  stop(run: Run): Promise<void> {
    return this.orders.stop(run);
  }

  /** Stops an untracked run, or keeps a delayed order from starting it. */
  forbidRun(active: Pick<ActiveRun, 'task' | 'run'>): Promise<void> {
    return this.orders.forbidRun(active);
  }

  /** Asks the upstream; see `HoldOrders.isPresent`. */
  async isPresent(namesStart: boolean): Promise<boolean> {
    const isPresent = await this.holdOrders.isPresent(namesStart);
    // Without an answer, the session has to find out soon who is there.
    if (!isPresent) this.wakeup.wake();
    return isPresent;
  }

  /** Closes the session; the caller handles its remaining runs. */
  close(): void {
    if (this.closed) return;
    this.closed = true;
    this.wakeup.wake();
    this.options.port.releaseUpstream(this.record);
  }

  private async runHoldLoop(): Promise<void> {
    while (!this.closed) {
      if (this.isIdle) await this.wakeup.wait();
      // An answer that can't be handled counts like a missing one.
      await this.runHoldTurn().catch((err: unknown) => {
        this.handleHoldFailure(err);
        return sleep(SESSION_TIMING.retryPauseMs);
      });
    }
  }

  private async runHoldTurn(): Promise<void> {
    if (this.closed) return;
    await this.commits.waitUntilSettled(SESSION_TIMING.renewIntervalMs);
    if (this.closed || !this.options.maySendOrders()) {
      return sleep(SESSION_TIMING.retryPauseMs);
    }
    const isLive = this.state === 'live' && this.failedHolds === 0;
    const waitMs = isLive ? SESSION_TIMING.holdWaitMs : 0;
    if (!(await this.holdOrders.send(waitMs))) {
      await this.pauseAfterFailure();
    }
  }

  private get isIdle(): boolean {
    return (
      this.state === 'live' &&
      this.failedHolds === 0 &&
      this.runs.size === 0 &&
      this.untrackedRunCount === 0 &&
      this.endsCursor.isIdle
    );
  }

  private async holdNow(): Promise<void> {
    if (!this.closed && this.options.maySendOrders())
      await this.holdOrders.send(0);
  }

  /** Whether the leases are not meant to expire. */
  private get mayExtendLeases(): boolean {
    const isSilent = this.failedHolds >= MAX_FAILED_HOLDS;
    return !this.deregistered && (!isSilent || this.state === 'fencing');
  }

  private handleHoldFailure(err: unknown): void {
    this.failedHolds++;
    if (this.failedHolds < MAX_FAILED_HOLDS || this.state !== 'live') return;
    const cause = err instanceof Error ? err.message : String(err);
    this.setContactState('silent', cause);
  }

  /** Waits before the next hold, but not past the expiry of the leases. */
  private async pauseAfterFailure(): Promise<void> {
    if (this.state === 'lost') {
      const {lostRetryPauseMs} = SESSION_TIMING;
      return Promise.race([sleep(lostRetryPauseMs), this.wakeup.wait()]);
    }
    if (this.failedHolds < MAX_FAILED_HOLDS) return;
    const left = this.leaseClock.allExpiredAt - performance.now();
    if (this.state === 'silent' && left <= 0) this.abandonRuns();
    else await sleep(Math.max(1, Math.min(SESSION_TIMING.retryPauseMs, left)));
  }

  private abandonRuns(): void {
    this.setContactState('lost', 'leases expired');
    for (const run of this.runs.all) {
      this.orders.addAbandonedRun({task: run.task.id, run: run.number});
      this.reportLostRun(run, 'lease expired on a silent upstream');
    }
  }

  private answered(answer: HoldAnswer, sentAt: number): void {
    const {events} = this.options;
    if (answer.type === 'superseded') return events.superseded(this);
    if (answer.type === 'other-life')
      return events.otherProcess(this, undefined);
    const {startedAt, clockMs} = answer;
    if (startedAt !== undefined && startedAt !== this.record.startedAt) {
      return events.otherProcess(this, startedAt);
    }
    this.lastContactAt = performance.now();
    this.holds.recordAnswer(sentAt, startedAt !== undefined);
    this.failedHolds = 0;
    this.leaseClock.observeReading(clockMs);
    if (this.state !== 'live') this.setContactState('live', 'answered');
    this.orders.forbidAbandonedRuns();
    if (!this.runs.isOutdated(answer)) this.processLists(answer, sentAt);
    events.holdAnswered(this);
  }

  private processLists(answer: HeldAnswer, sentAt: number): void {
    this.processEnds(answer.ends, answer.clockMs);
    const {confirmed, untracked, absent} = this.runs.compareWithActive(
      answer,
      sentAt,
    );
    for (const run of confirmed) this.runs.confirmRun(run);
    this.untrackedRunCount = untracked.length;
    for (const each of untracked) this.options.events.runFound(this, each);
    for (const {run, cause} of absent) this.reportLostRun(run, cause);
    const isFirst = !answer.moreEnds && this.holds.recordCompleteList(sentAt);
    if (isFirst) this.options.events.fenced(this);
  }

  private processEnds(all: readonly RunEnd[], clockMs: number): void {
    const ends = this.endsCursor.takeNewEnds(all);
    this.runs.applyEnds(ends, clockMs);
    if (ends.length === 0) return;
    this.commits.add(this.endsCursor.seenPosition, earlier =>
      this.options.events.ended(this, ends, earlier),
    );
  }

  private reportLostRun(run: Run, cause: string): void {
    this.runs.remove(run);
    this.options.events.runLost(run, cause);
  }

  private setContactState(to: Contact, cause: string): void {
    const from = this.state;
    this.state = to;
    this.options.events.contactChanged(this, from, cause);
  }
}
