/** Start orders of durable jobs that no answered hold accounts for yet. */

/**
 * Tracks start orders that make it unsafe to acknowledge ends. Such an order
 * may reach an incarnation of the upstream that began after the last answered
 * hold. An acknowledgement would make that incarnation discard an end that
 * nobody has seen, so it has to wait until a hold that was sent after the start
 * order is answered.
 */
export class PendingStarts {
  private open = 0;
  private lastSentAt = Number.NEGATIVE_INFINITY;

  /** Tracks a start order until its outcome is known. */
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
   * @param holdSentAt When the hold was sent, by this process's clock.
   */
  mayHaveStartedAfter(holdSentAt: number): boolean {
    return this.open > 0 || this.lastSentAt >= holdSentAt;
  }
}
