/** Run times from the progress that upstreams report, on their own clocks. */

/** Time in ms over which progress is judged; shorter spans are rounding. */
const MIN_REPORT_SPAN_MS = 100;

/**
 * Longest time in ms between two lists for an end in the second one to have a
 * known time: a list is sent at an end, unless the request for it is late.
 */
const MAX_UNSEEN_END_MS = 200;

/**
 * Progress of one run. Times are readings of the upstream's clock in
 * milliseconds: by the time of arrival a late answer would look like a slow
 * run.
 */
export class RunProgress {
  private startedAt: number | null = null;
  private firstAt: number | null = null;
  private percent = 0;
  private at = 0;
  private remaining: number | null = null;

  /** Expected time to the end; null while unknown, Infinity for a standstill. */
  get remainingMs(): number | null {
    return this.remaining;
  }

  /** Time from the start, or else from the first report, to the newest one. */
  get elapsedMs(): number {
    return this.firstAt === null ? 0 : this.at - this.firstAt;
  }

  /**
   * Run time of a run whose end is in a list.
   *
   * @param clockMs Reading of the clock with the list.
   * @param earlierMs Reading with the list before, which didn't have the end.
   * @return null if the start or the end isn't known well enough.
   */
  measureRunMs(clockMs: number, earlierMs: number): number | null {
    const {startedAt} = this;
    if (startedAt === null) return null;
    const unseenMs = clockMs - Math.max(startedAt, earlierMs);
    return unseenMs > MAX_UNSEEN_END_MS
      ? null
      : Math.max(1, clockMs - startedAt);
  }

  /** Notes that the upstream has begun the run. */
  recordStart(clockMs: number): void {
    this.startedAt = clockMs;
    this.first(0, clockMs);
  }

  /** Takes a report. */
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
