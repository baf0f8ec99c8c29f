/** Notices that the process stood still without its steady clock counting. */

/** Period of the check in milliseconds. */
const PERIOD_MS = 25;

/** Difference of the clocks in ms that tells of a pause or a clock step. */
const TOLERANCE_MS = 100;

/** How long the process then is careful; a round trip and a sync. */
const CAREFUL_MS = 100;

/**
 * The steady clock does not count while a machine is suspended, the time of
 * day does. A step of the time of day looks the same, and costs the same
 * short care.
 */
export class PauseDetector {
  readonly name = 'pause-detector';
  private offset = currentOffset();
  private carefulUntil = 0;
  private readonly timer = setInterval(() => this.check(), PERIOD_MS).unref();

  constructor(private readonly onPause: (pausedMs: number) => void) {}

  /** Whether a pause was noticed just now; checks the clocks again. */
  get wasPausedRecently(): boolean {
    this.check();
    return performance.now() < this.carefulUntil;
  }

  close(): void {
    clearInterval(this.timer);
  }

  private check(): void {
    const offset = currentOffset();
    const jumpMs = offset - this.offset;
    if (Math.abs(jumpMs) < TOLERANCE_MS) return;
    this.offset = offset;
    this.carefulUntil = performance.now() + CAREFUL_MS;
    this.onPause(jumpMs);
  }
}

function currentOffset(): number {
  return Date.now() - performance.now();
}
