/**
 * Decides how long an order waits for its answer before its outcome is looked
 * up, after the retransmission timeout of RFC 6298.
 *
 * Load pattern: a few of a hundred orders get no answer while the others are
 * answered within milliseconds. A job of many short tasks is late if one of
 * them is noticed late, so the timeout follows the usual answer time. On a busy
 * machine all answers take longer; then the timeout grows, as looking up orders
 * that are only late would add to the load.
 */

/** Bounds of the timeout in milliseconds. */
export interface OrderTimeoutOptions {
  readonly minMs: number;
  readonly maxMs: number;
}

const MEAN_RATE = 1 / 8;
const DEVIATION_RATE = 1 / 4;
const DEVIATION_FACTOR = 4;

/** Timeout for orders of one kind; the maximum until answers are observed. */
export class OrderTimeout {
  private meanMs: number | null = null;
  private deviationMs = 0;

  constructor(private readonly options: OrderTimeoutOptions) {}

  /** The present timeout, a whole number of milliseconds. */
  get timeoutMs(): number {
    const {minMs, maxMs} = this.options;
    if (this.meanMs === null) return maxMs;
    const expectedMs = this.meanMs + DEVIATION_FACTOR * this.deviationMs;
    return Math.ceil(Math.max(minMs, Math.min(maxMs, expectedMs)));
  }

  /** Records the time in ms until an order was answered. */
  recordAnswer(ms: number): void {
    if (this.meanMs === null) {
      this.meanMs = ms;
      this.deviationMs = ms / 2;
      return;
    }
    const error = ms - this.meanMs;
    this.deviationMs += DEVIATION_RATE * (Math.abs(error) - this.deviationMs);
    this.meanMs += MEAN_RATE * error;
  }
}
