/**
 * Concurrency limit of one upstream from the gradient of its latency, after
 * TCP Vegas (Brakmo and Peterson, 1995): the limit shrinks in proportion when
 * runs take longer than usual, and otherwise grows by a constant step. A step
 * in proportion to the limit would keep a limit of 8 above 4 at any latency.
 */

/** A finished or refused task. */
export interface ConcurrencySample {
  /** Ratio of the measured to the estimated run time. */
  readonly slowdown: number;
  readonly refused: boolean;
  /** Tasks of this instance on the upstream when the task was sent. */
  readonly running: number;
}

/** Learning rates of the short- and long-term averages of the slowdown. */
const SHORT_AVERAGE_RATE = 0.2;
const LONG_AVERAGE_RATE = 0.01;
const SMOOTHING_FACTOR = 0.2;
const GROWTH_STEP = 1;
const MIN_GRADIENT = 0.5;
/** Tolerated slowdown, because estimates are off by about this factor. */
const SLOWDOWN_TOLERANCE = 1.5;
const REFUSAL_FACTOR = 0.7;
/** Refusals within this time have one cause and count once. */
const REFUSAL_WINDOW_MS = 100;
const MAX_SLOWDOWN = 10;

/** Concurrency limit between 1 and the slots of the upstream. */
export class AdaptiveConcurrency {
  private exactLimit: number;
  private shortAverage = 1;
  private longAverage = 1;
  private refusedAtMs = -Infinity;

  constructor(private slots: number) {
    this.exactLimit = slots;
  }

  /** Most tasks that may run at once, a whole number. */
  get limit(): number {
    return Math.max(1, Math.floor(this.exactLimit + 1e-9));
  }

  setSlots(slots: number): void {
    this.slots = slots;
    this.exactLimit = Math.max(1, Math.min(slots, this.exactLimit));
  }

  observe(sample: ConcurrencySample, now: number): void {
    if (sample.refused) {
      this.refused(now);
      return;
    }
    const slowdown = Math.min(MAX_SLOWDOWN, Math.max(0, sample.slowdown));
    this.shortAverage += SHORT_AVERAGE_RATE * (slowdown - this.shortAverage);
    this.longAverage += LONG_AVERAGE_RATE * (slowdown - this.longAverage);
    // Lets the long-term average follow a lasting improvement at once.
    this.longAverage = Math.min(this.longAverage, 2 * this.shortAverage);
    const gradient = Math.max(
      MIN_GRADIENT,
      Math.min(
        1,
        (SLOWDOWN_TOLERANCE * this.longAverage) /
          Math.max(this.shortAverage, 1e-6),
      ),
    );
    const target =
      gradient < 1 ? this.exactLimit * gradient : this.exactLimit + GROWTH_STEP;
    const smoothedLimit =
      this.exactLimit + SMOOTHING_FACTOR * (target - this.exactLimit);
    // A lightly loaded upstream is no evidence for a higher limit.
    const isLoaded = sample.running >= this.exactLimit / 2;
    if (smoothedLimit > this.exactLimit && !isLoaded) return;
    this.exactLimit = Math.max(1, Math.min(this.slots, smoothedLimit));
  }

  private refused(now: number): void {
    if (now - this.refusedAtMs < REFUSAL_WINDOW_MS) return;
    this.refusedAtMs = now;
    this.exactLimit = Math.max(1, this.exactLimit * REFUSAL_FACTOR);
  }
}
