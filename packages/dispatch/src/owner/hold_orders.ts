/** Holds that the owner sends to one upstream, and which were answered. */
import type {HoldAnswer, HoldOrder} from '../upstreams/upstream_port.js';
import type {EndsCursor} from './ends_cursor.js';
import type {LeaseClock} from './lease_clock.js';
import type {PendingStarts} from './pending_starts.js';
import {getHoldTimeoutMs} from './session_timing.js';
import type {SessionOptions} from './session_types.js';
import type {UpstreamSession} from './upstream_session.js';

/** Parts of a session that its holds use. */
export interface HoldContext {
  readonly session: UpstreamSession;
  readonly options: SessionOptions;
  readonly leaseClock: LeaseClock;
  readonly endsCursor: EndsCursor;
  readonly starts: PendingStarts;
  readonly holds: HoldHistory;
  /** Whether the session is closed; later answers are dropped. */
  readonly isClosed: () => boolean;
  /** Whether the leases are not meant to expire. */
  readonly mayExtendLeases: () => boolean;
  /** Number of holds in a row that failed. */
  readonly getFailedCount: () => number;
  /** Handles an answer and when its hold was sent. */
  readonly onAnswer: (answer: HoldAnswer, sentAt: number) => void;
  readonly onFailure: (err: unknown) => void;
}

/** What a hold changes on the upstream. */
type HoldEffects = Pick<HoldOrder, 'acknowledged' | 'leaseUntil'>;

/** Sends holds, and passes on their answers. */
export class HoldOrders {
  constructor(private readonly context: HoldContext) {}

  /**
   * Sends a hold that extends the leases and acknowledges run ends.
   *
   * @param waitMs How long the upstream waits for a run end to report.
   * @returns Whether the upstream listed its runs.
   */
  send(waitMs: number): Promise<boolean> {
    const {starts, holds, endsCursor} = this.context;
    const mayBeNew = starts.mayHaveStartedAfter(holds.answeredSentAt);
    const acknowledged = mayBeNew ? 0 : endsCursor.positionToAcknowledge;
    return this.exchange(waitMs, {acknowledged, ...this.extendLeases()});
  }

  /**
   * Asks the upstream, without an effect on it, and returns whether this
   * incarnation has answered.
   *
   * @param namesStart Whether only an answer counts that names the start of the
   *     incarnation, as another one of the same id may answer.
   */
  async isPresent(namesStart: boolean): Promise<boolean> {
    const {options, holds, isClosed} = this.context;
    const askedAt = performance.now();
    if (isClosed() || !options.maySendOrders()) return false;
    await this.exchange(0, {acknowledged: 0});
    const {identifiedSentAt, answeredSentAt} = holds;
    const sentAt = namesStart ? identifiedSentAt : answeredSentAt;
    return !isClosed() && sentAt >= askedAt;
  }

  private async exchange(
    waitMs: number,
    effects: HoldEffects,
  ): Promise<boolean> {
    const {session, options, endsCursor, isClosed} = this.context;
    const sentAt = performance.now();
    let answer: HoldAnswer;
    try {
      answer = await options.port.hold(session.record, {
        token: options.token,
        timeoutMs: waitMs + getHoldTimeoutMs(this.context.getFailedCount()),
        waitMs,
        ...effects,
      });
    } catch (err) {
      if (!isClosed()) this.context.onFailure(err);
      return false;
    }
    if (!isClosed()) this.context.onAnswer(answer, sentAt);
    const isHeld = answer.type === 'held';
    if (isHeld && !isClosed())
      endsCursor.markAcknowledged(effects.acknowledged);
    return isHeld;
  }

  private extendLeases(): Pick<HoldOrder, 'leaseUntil'> {
    const {leaseClock, mayExtendLeases} = this.context;
    if (!mayExtendLeases()) return {};
    const leaseUntil = leaseClock.grantLease(performance.now());
    return leaseUntil === undefined ? {} : {leaseUntil};
  }
}

/**
 * When the answered holds of a session were sent, in milliseconds of this
 * process's clock.
 */
export class HoldHistory {
  private answered = Number.NEGATIVE_INFINITY;
  private identified = Number.NEGATIVE_INFINITY;
  private complete = Number.NEGATIVE_INFINITY;

  /** When the newest answered hold was sent. */
  get answeredSentAt(): number {
    return this.answered;
  }

  /** When the newest hold was sent whose answer named the incarnation. */
  get identifiedSentAt(): number {
    return this.identified;
  }

  /**
   * When the newest hold was sent whose answer listed all run ends. The end of
   * a run may still be unlisted before.
   */
  get completeSentAt(): number {
    return this.complete;
  }

  get hasCompleteList(): boolean {
    return this.complete > Number.NEGATIVE_INFINITY;
  }

  recordAnswer(sentAt: number, isIdentified: boolean): void {
    this.answered = Math.max(this.answered, sentAt);
    if (isIdentified) this.identified = Math.max(this.identified, sentAt);
  }

  /**
   * Records an answer that lists all run ends; returns whether it is the first.
   */
  recordCompleteList(sentAt: number): boolean {
    const isFirst = !this.hasCompleteList;
    this.complete = Math.max(this.complete, sentAt);
    return isFirst;
  }
}
