/** Estimates the clock of one upstream and the expiry of its leases. */

import {SESSION_TIMING} from './session_timing.js';

/** Slowest rate of an upstream's monotonic clock relative to this process's. */
const SLOWEST_CLOCK_RATE = 0.98;

/** Age of a reading in ms from which its clock is taken as the slowest. */
const FRESH_READING_MS = 1_000;

/** Error from rounding clock readings to whole milliseconds on both sides. */
const CLOCK_ROUNDING_MS = 2;

/** A reading of an upstream's clock, and when it arrived here. */
interface Reading {
  readonly clockMs: number;
  readonly at: number;
}

/** Clock of one incarnation of an upstream. Times are in milliseconds. */
export class LeaseClock {
  private lastReading: Reading | null = null;
  private grantedUntil = Number.NEGATIVE_INFINITY;
  /** Latest end of leases from earlier incarnations, by this clock. */
  private earlierLeasesUntil = Number.NEGATIVE_INFINITY;

  constructor(private readonly leaseMs: number) {}

  /**
   * Records a reading, unless it lags further behind than the slowest clock
   * would: it was delayed, and leases would be granted shorter by that delay.
   */
  observeReading(clockMs: number, at = performance.now()): void {
    const {lastReading} = this;
    if (!lastReading) {
      this.lastReading = {clockMs, at};
      return;
    }
    const leastMs = (at - lastReading.at) * SLOWEST_CLOCK_RATE;
    if (clockMs >= lastReading.clockMs + leastMs - CLOCK_ROUNDING_MS) {
      this.lastReading = {clockMs, at};
    }
  }

  /**
   * Takes into account a start order to an earlier incarnation that may still
   * reach this one. The expiry that it names is on another clock.
   *
   * @param maxLeaseMs Length to which the upstream shortens a lease.
   */
  expectEarlierLease(now: number, maxLeaseMs: number): void {
    const {startMs} = SESSION_TIMING;
    this.earlierLeasesUntil = now + startMs + maxLeaseMs / SLOWEST_CLOCK_RATE;
  }

  /**
   * Grants a lease; returns its end on the upstream's clock, or undefined
   * without a reading of it.
   */
  grantLease(now: number): number | undefined {
    if (!this.lastReading) return undefined;
    const reading = estimateReading(this.lastReading, now);
    const until = Math.floor(reading + this.leaseMs);
    this.grantedUntil = Math.max(this.grantedUntil, until);
    return until;
  }

  /** Local time at which every lease granted so far has certainly expired. */
  get allExpiredAt(): number {
    const {clockMs, at} = this.lastReading ?? {clockMs: 0, at: 0};
    const left = this.grantedUntil + CLOCK_ROUNDING_MS - clockMs;
    const expiredAt = left > 0 ? at + left / SLOWEST_CLOCK_RATE : at;
    return Math.max(expiredAt, this.earlierLeasesUntil);
  }
}

/**
 * The next owner waits for leases of the usual length, so an old reading of a
 * slow clock must not make them longer.
 */
function estimateReading({clockMs, at}: Reading, now: number): number {
  const freshMs = Math.min(now - at, FRESH_READING_MS);
  return clockMs + freshMs + (now - at - freshMs) * SLOWEST_CLOCK_RATE;
}
