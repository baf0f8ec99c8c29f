/**
 * Concurrency limit of one upstream from the gradient of its latency, after
 * TCP Vegas (Brakmo and Peterson, 1995): the limit shrinks in proportion when
 * runs take longer than usual, and otherwise grows by a constant step. A step
 * that grows with the limit would hold a limit of 8 above 4 at any latency.
 */

/** A finished or refused task. */
export interface ConcurrencySample {
  /** Measured time over the estimate; 1 is as expected. */
  readonly slowdown: number;
  readonly refused: boolean;
  /** Tasks of this instance on the upstream when the task was sent. */
  readonly running: number;
}

const SHORT_RATE = 0.2;
const LONG_RATE = 0.01;
const SMOOTHING = 0.2;
const GROWTH = 1;
const MIN_GRADIENT = 0.5;
/** Slowdown that is tolerated: estimates are off by about this factor. */
const TOLERANCE = 1.5;
const REFUSAL_FACTOR = 0.7;
/** Refusals closer than this belong to one cause and count once. */
const REFUSAL_WINDOW_MS = 100;
const MAX_SLOWDOWN = 10;

/** Limit between 1 and the slots of the upstream. */
export class AdaptiveConcurrency {
  private estimate: number;
  private short = 1;
  private long = 1;
  private refusedAtMs = -Infinity;

  constructor(private slots: number) {
    this.estimate = slots;
  }

  /** Most tasks that may run at once, a whole number. */
  get limit(): number {
    return Math.max(1, Math.floor(this.estimate + 1e-9));
  }

  setSlots(slots: number): void {
    this.slots = slots;
    this.estimate = Math.max(1, Math.min(slots, this.estimate));
  }

  observe(sample: ConcurrencySample, now: number): void {
    if (sample.refused) {
      this.refused(now);
      return;
    }
    const slowdown = Math.min(MAX_SLOWDOWN, Math.max(0, sample.slowdown));
    this.short += SHORT_RATE * (slowdown - this.short);
    this.long += LONG_RATE * (slowdown - this.long);
    // The long average follows a lasting improvement at once.
    this.long = Math.min(this.long, 2 * this.short);
    const gradient = Math.max(
      MIN_GRADIENT,
      Math.min(1, (TOLERANCE * this.long) / Math.max(this.short, 1e-6)),
    );
    const target =
      gradient < 1 ? this.estimate * gradient : this.estimate + GROWTH;
    const grown = this.estimate + SMOOTHING * (target - this.estimate);
    // An upstream that is not filled says nothing about a higher limit.
    const filled = sample.running >= this.estimate / 2;
    if (grown > this.estimate && !filled) return;
    this.estimate = Math.max(1, Math.min(this.slots, grown));
  }

  private refused(now: number): void {
    if (now - this.refusedAtMs < REFUSAL_WINDOW_MS) return;
    this.refusedAtMs = now;
    this.estimate = Math.max(1, this.estimate * REFUSAL_FACTOR);
  }
}
