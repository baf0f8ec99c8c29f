/** What is known of the clock and the leases of one upstream. */

/** Slowest rate of an upstream's steady clock against ours. */
const SLOWEST_CLOCK_RATE = 0.98;

/** Rounding of clock readings to whole milliseconds, on both sides. */
const CLOCK_ROUNDING_MS = 2;

/** Clock of one life of an upstream. Times are in milliseconds. */
export class LeaseClock {
  private reading: {readonly clockMs: number; readonly at: number};
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
    this.reading = {clockMs, at};
  }

  /** Takes a newer reading; readings that say less are dropped. */
  observe(clockMs: number, at: number): void {
    if (clockMs >= this.latest(at) - this.leaseMs / 2) {
      this.reading = {clockMs, at};
    }
  }

  /** End of a lease granted now, on the upstream's clock. */
  grant(now: number): number {
    const until = Math.floor(this.latest(now) + this.leaseMs);
    this.grantedUntil = Math.max(this.grantedUntil, until);
    return until;
  }

  /** Our time at which every lease granted so far is over for certain. */
  get overAt(): number {
    const {clockMs, at} = this.reading;
    const left = this.grantedUntil + CLOCK_ROUNDING_MS - clockMs;
    return left > 0 ? at + left / SLOWEST_CLOCK_RATE : at;
  }

  private latest(now: number): number {
    return this.reading.clockMs + (now - this.reading.at);
  }
}
