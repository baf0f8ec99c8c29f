/** Starts of stored jobs that no hold has accounted for yet. */

/**
 * A start may reach a life of the upstream that began after the last answered
 * hold. An acknowledgement of ends would then make that life forget an end that
 * nobody has seen, so it waits for a hold without such a start before it.
 */
export class PendingStarts {
  private open = 0;
  private lastSentAt = Number.NEGATIVE_INFINITY;

  /** Follows a start order, until it is known what became of it. */
  async track(order: () => Promise<void>): Promise<void> {
    this.open++;
    this.lastSentAt = performance.now();
    try {
      await order();
    } finally {
      this.open--;
    }
  }

  /**
   * Whether a start may have been carried out after a hold.
   *
   * @param holdSentAt When the hold was sent, by the process's clock.
   */
  mayHaveStartedAfter(holdSentAt: number): boolean {
    return this.open > 0 || this.lastSentAt >= holdSentAt;
  }
}
