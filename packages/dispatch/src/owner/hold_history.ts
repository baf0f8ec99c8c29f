/** Send times of the answered holds of one session. */

/** Times are in milliseconds of this process's clock. */
export class HoldHistory {
  private answered = Number.NEGATIVE_INFINITY;
  private identified = Number.NEGATIVE_INFINITY;
  private complete = Number.NEGATIVE_INFINITY;

  /** When the newest answered hold was sent. */
  get answeredSentAt(): number {
    return this.answered;
  }

  /** When the newest hold was sent whose answer named the incarnation. */
  get identifiedSentAt(): number {
    return this.identified;
  }

  /**
   * When the newest hold was sent whose answer listed all run ends. The end of
   * a run may still be unlisted before.
   */
  get completeSentAt(): number {
    return this.complete;
  }

  get hasCompleteList(): boolean {
    return this.complete > Number.NEGATIVE_INFINITY;
  }

  recordAnswer(sentAt: number, isIdentified: boolean): void {
    this.answered = Math.max(this.answered, sentAt);
    if (isIdentified) this.identified = Math.max(this.identified, sentAt);
  }

  /**
   * Records an answer that lists all run ends; returns whether it is the first.
   */
  recordCompleteList(sentAt: number): boolean {
    const isFirst = !this.hasCompleteList;
    this.complete = Math.max(this.complete, sentAt);
    return isFirst;
  }
}
