/** Bounds repeated orders by what is answered. */

/** Repeated orders for each answered one. */
const REPEATED_SHARE = 0.1;

/**
 * Lets repetitions pass in proportion to answers, so that a slow moment adds
 * little work to the moment itself.
 */
export class RepeatBudget {
  private left: number;

  /** @param most Repetitions that may come at once, now. */
  constructor(private readonly most: () => number) {
    this.left = Infinity;
  }

  /** Notes an answered order. */
  noteAnswer(): void {
    this.left = Math.min(this.left + REPEATED_SHARE, this.most());
  }

  /** Whether an order may be repeated; counts it if so. */
  take(): boolean {
    this.left = Math.min(this.left, this.most());
    if (this.left < 1) return false;
    this.left--;
    return true;
  }
}
