/** Limits retries of orders in proportion to the answered orders. */

/** Retries allowed per answered order. */
const RETRIES_PER_ANSWER = 0.1;

/**
 * Each answer adds a fraction of a retry, so that retries add little load while
 * answers are slow.
 */
export class RetryBudget {
  private left: number;

  /** @param getMaxBurst Returns the current maximum of retries at once. */
  constructor(private readonly getMaxBurst: () => number) {
    this.left = Infinity;
  }

  /** Records an answered order. */
  recordAnswer(): void {
    this.left = Math.min(this.left + RETRIES_PER_ANSWER, this.getMaxBurst());
  }

  /** Returns whether an order may be retried, and counts the retry if so. */
  takeRetry(): boolean {
    this.left = Math.min(this.left, this.getMaxBurst());
    if (this.left < 1) return false;
    this.left--;
    return true;
  }
}
