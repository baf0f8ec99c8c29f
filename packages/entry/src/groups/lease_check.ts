/** Tells whether the leader of a record group holds its lease. */

const CHECK_PERIOD_MS = 20;

/** The answer is needed for each start, so it is kept for a few milliseconds. */
export class LeaseCheck {
  private checkedAtMs = 0;
  private held = false;

  constructor(private readonly readLeaseMs: () => number) {}

  isHeld(): boolean {
    const now = Date.now();
    if (now - this.checkedAtMs >= CHECK_PERIOD_MS) {
      this.checkedAtMs = now;
      this.held = this.readLeaseMs() > CHECK_PERIOD_MS;
    }
    return this.held;
  }

  /** Makes the next call read the lease again. */
  forget(): void {
    this.checkedAtMs = 0;
  }
}
