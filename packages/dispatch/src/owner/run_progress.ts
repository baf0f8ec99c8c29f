/** Run times from the progress that upstreams report by their own clocks. */

/**
 * Shortest span in ms from which a rate of progress is computed; in shorter
 * ones rounding dominates.
 */
const MIN_REPORT_SPAN_MS = 100;

/**
 * Longest time in ms between two lists for the second one to date the ends in
 * it. An upstream sends a list as soon as a run ends, unless the request for it
 * arrives late.
 */
const MAX_UNSEEN_END_MS = 200;

/**
 * Progress of one run. Times are readings of the upstream's clock in
 * milliseconds, as a delayed answer would look like a slow run by its time of
 * arrival.
 */
export class RunProgress {
  private startedAt: number | null = null;
  private firstAt: number | null = null;
  private percent = 0;
  private at = 0;
  private remaining: number | null = null;

  /**
   * Expected time to the end; null while unknown, Infinity for a stalled run.
   */
  get remainingMs(): number | null {
    return this.remaining;
  }

  /** Time from the start, or else from the first report, to the newest one. */
  get elapsedMs(): number {
    return this.firstAt === null ? 0 : this.at - this.firstAt;
  }

  /**
   * Returns the run time of a run whose end is in a list.
   *
   * @param clockMs Clock reading of the list.
   * @param previousClockMs Clock reading of the list before, without the end.
   * @return null if the start or the end isn't known well enough.
   */
  measureRunMs(clockMs: number, previousClockMs: number): number | null {
    const {startedAt} = this;
    if (startedAt === null) return null;
    const unseenMs = clockMs - Math.max(startedAt, previousClockMs);
    return unseenMs > MAX_UNSEEN_END_MS
      ? null
      : Math.max(1, clockMs - startedAt);
  }

  /** Records that the upstream has begun the run. */
  recordStart(clockMs: number): void {
    this.startedAt = clockMs;
    this.first(0, clockMs);
  }

  /** Records a progress report. */
  recordReport(percent: number, clockMs: number): void {
    if (this.firstAt === null) return this.first(percent, clockMs);
    const spanMs = clockMs - this.at;
    if (spanMs < MIN_REPORT_SPAN_MS) return;
    const gained = percent - this.percent;
    this.remaining =
      gained > 0 ? ((100 - percent) * spanMs) / gained : Infinity;
    this.percent = percent;
    this.at = clockMs;
  }

  private first(percent: number, clockMs: number): void {
    this.firstAt = clockMs;
    this.percent = percent;
    this.at = clockMs;
  }
}
