/** Detects pauses of the process that its monotonic clock does not count. */

/**
 * Interval in ms between checks of the clocks. Each order of an owner checks
 * them first, so the timer serves the log, and keeps a pause from counting as
 * recent when the first order comes long after it.
 */
const CHECK_INTERVAL_MS = 1_000;

/** Drift in ms between the clocks that counts as a pause or a clock step. */
const TOLERANCE_MS = 100;

/** Time in ms for which a pause counts as recent: a round trip and a sync. */
const RECENT_MS = 100;

/**
 * Compares the two clocks: while a machine is suspended, the monotonic clock
 * stops and the wall clock goes on. A step of the wall clock looks the same and
 * is treated as a pause.
 */
export class PauseDetector {
  readonly name = 'pause-detector';
  private offset = readClockOffset();
  private recentUntil = 0;
  private totalMs = 0;
  private readonly timer = setInterval(
    () => this.checkClocks(),
    CHECK_INTERVAL_MS,
  ).unref();

  constructor(private readonly onPause: (pausedMs: number) => void) {}

  /** Whether a pause was detected recently; checks the clocks first. */
  get wasPausedRecently(): boolean {
    this.checkClocks();
    return performance.now() < this.recentUntil;
  }

  /**
   * Sum of all pauses in ms, and of steps of the wall clock forward; checks the
   * clocks first.
   */
  get suspendedMs(): number {
    this.checkClocks();
    return this.totalMs;
  }

  close(): void {
    clearInterval(this.timer);
  }

  private checkClocks(): void {
    const offset = readClockOffset();
    const jumpMs = offset - this.offset;
    if (Math.abs(jumpMs) < TOLERANCE_MS) return;
    this.offset = offset;
    this.totalMs += Math.max(0, jumpMs);
    this.recentUntil = performance.now() + RECENT_MS;
    this.onPause(jumpMs);
  }
}

function readClockOffset(): number {
  return Date.now() - performance.now();
}
