/** Remaining run times from the progress that upstreams report. */

/** Time in ms over which progress is judged; shorter spans are rounding. */
const MIN_SPAN_MS = 100;

/** Progress of one run. Times are in milliseconds. */
export class RunProgress {
  private percent = 0;
  private at: number;
  private remaining: number | null = null;

  constructor(startedAt: number) {
    this.at = startedAt;
  }

  /** Expected time to the end; null while unknown, Infinity for a standstill. */
  get remainingMs(): number | null {
    return this.remaining;
  }

  /** Takes a report. */
  observe(percent: number, now: number): void {
    const spanMs = now - this.at;
    if (spanMs < MIN_SPAN_MS) return;
    const gained = percent - this.percent;
    this.remaining =
      gained > 0 ? ((100 - percent) * spanMs) / gained : Infinity;
    this.percent = percent;
    this.at = now;
  }
}
