/** Clocks by which relayed orders expire, on the carrier and on the leader. */
import {randomInt} from 'node:crypto';

import type {OrderMessage} from '../messages/order_messages.js';
import type {PauseDetector} from './pause_detector.js';

/** Upper limit of the reading at which a clock begins, in ms. */
const MAX_ORIGIN_MS = 2 ** 47;

/**
 * Longest time in ms for which a message may be valid. A later expiry is one on
 * the clock of another process, such as an earlier one at the same address.
 */
const MAX_VALIDITY_MS = 10_000;

/** Age in ms from which a reading is replaced by any later one. */
const MAX_READING_AGE_MS = 10_000;

/** Difference in ms that tells of the clock of another process. */
const MAX_DIFFERENCE_MS = 10_000;

/**
 * Monotonic clock that also counts the time for which the machine was
 * suspended. It begins at a random reading, so that a message to one process
 * is expired for every other one.
 */
export class ProcessClock {
  private readonly origin = randomInt(MAX_ORIGIN_MS);

  constructor(private readonly pauses: Pick<PauseDetector, 'suspendedMs'>) {}

  /** Reading in whole milliseconds. */
  get nowMs(): number {
    const elapsedMs = performance.now() + this.pauses.suspendedMs;
    return Math.floor(this.origin + elapsedMs);
  }

  /** Time in ms until an expiry on this clock; 0 once it has passed. */
  getTimeLeftMs(expiresAtMs: number): number {
    const leftMs = expiresAtMs - this.nowMs;
    return leftMs > MAX_VALIDITY_MS ? 0 : Math.max(0, leftMs);
  }
}

/** A reading of a carrier's clock, and when it arrived here. */
interface Reading {
  readonly clockMs: number;
  readonly at: number;
}

/**
 * A reading is older when it arrives than when it was taken, so an estimate is
 * never ahead of the carrier's clock: an order may expire early, but not late.
 */
export class CarrierClocks {
  private readonly readings = new Map<string, Reading>();

  /** Whether the clock of a carrier is known. */
  has(carrier: string): boolean {
    return this.readings.has(carrier);
  }

  /** Records a reading, unless an earlier one came with less delay. */
  observe(carrier: string, clockMs: number): void {
    const at = performance.now();
    const known = this.readings.get(carrier);
    const aheadMs = known ? clockMs - estimate(known, at) : 0;
    const isUseful =
      !known ||
      aheadMs >= 0 ||
      aheadMs < -MAX_DIFFERENCE_MS ||
      at - known.at > MAX_READING_AGE_MS;
    if (isUseful) this.readings.set(carrier, {clockMs, at});
  }

  /** Forgets the clock of a carrier, which may start again with another one. */
  forget(carrier: string): void {
    this.readings.delete(carrier);
  }

  /** Creates the expiry of an order; empty if the clock is not known. */
  createExpiry(
    carrier: string,
    validForMs: number,
  ): Pick<OrderMessage, 'expiresAtMs'> {
    const reading = this.readings.get(carrier);
    if (!reading) return {};
    const clockMs = estimate(reading, performance.now());
    return {expiresAtMs: Math.floor(clockMs + validForMs)};
  }
}

function estimate({clockMs, at}: Reading, now: number): number {
  return clockMs + now - at;
}
