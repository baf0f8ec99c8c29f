/** Estimates the clock of one upstream and the expiry of its leases. */

/** Slowest rate of an upstream's monotonic clock relative to this process's. */
const SLOWEST_CLOCK_RATE = 0.98;

/** Age of a reading in ms from which its clock is taken as the slowest. */
const FRESH_READING_MS = 1_000;

/** Error from rounding clock readings to whole milliseconds on both sides. */
const CLOCK_ROUNDING_MS = 2;

/** Clock of one incarnation of an upstream. Times are in milliseconds. */
export class LeaseClock {
  private lastReading: {readonly clockMs: number; readonly at: number};
  private grantedUntil = Number.NEGATIVE_INFINITY;

  /**
   * @param clockMs A reading of the upstream's clock.
   * @param at When that reading arrived here.
   */
  constructor(
    clockMs: number,
    at: number,
    private readonly leaseMs: number,
  ) {
    this.lastReading = {clockMs, at};
  }

  /**
   * Records a reading, unless it lags further behind than the slowest clock
   * would: it was delayed, and leases would be granted shorter by that delay.
   */
  observeReading(clockMs: number, at: number): void {
    const {lastReading} = this;
    const leastMs = (at - lastReading.at) * SLOWEST_CLOCK_RATE;
    if (clockMs >= lastReading.clockMs + leastMs - CLOCK_ROUNDING_MS) {
      this.lastReading = {clockMs, at};
    }
  }

  /** Grants a lease; returns its end on the upstream's clock. */
  grantLease(now: number): number {
    const until = Math.floor(this.estimateReading(now) + this.leaseMs);
    this.grantedUntil = Math.max(this.grantedUntil, until);
    return until;
  }

  /** Local time at which every lease granted so far has certainly expired. */
  get allExpiredAt(): number {
    const {clockMs, at} = this.lastReading;
    const left = this.grantedUntil + CLOCK_ROUNDING_MS - clockMs;
    return left > 0 ? at + left / SLOWEST_CLOCK_RATE : at;
  }

  /**
   * The next owner waits for leases of the usual length, so an old reading of a
   * slow clock must not make them longer.
   */
  private estimateReading(now: number): number {
    const {clockMs, at} = this.lastReading;
    const freshMs = Math.min(now - at, FRESH_READING_MS);
    return clockMs + freshMs + (now - at - freshMs) * SLOWEST_CLOCK_RATE;
  }
}
