/** Estimates when input arrived that the process may have read late. */

/** Interval in ms between readings of the clocks. */
const READING_INTERVAL_MS = 100;

interface Reading {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/**
 * Time of arrival of one message, by default now. While a machine is suspended,
 * the monotonic clock stops and the wall clock goes on; a step back of the wall
 * clock must not make the message younger. So the larger of the two elapsed
 * times counts.
 */
export class MessageArrival {
  constructor(private readonly earliest: Reading = readClocks()) {}

  /** Largest possible time in ms since the arrival. */
  get ageMs(): number {
    const {monotonicMs, wallMs} = readClocks();
    return Math.max(
      monotonicMs - this.earliest.monotonicMs,
      wallMs - this.earliest.wallMs,
    );
  }
}

/**
 * A message that arrives while the process stands still is read afterwards,
 * possibly in a later turn of the event loop than the first timers. Therefore a
 * message counts as arrived at the second to last reading of the clocks, which
 * is 100 to 200 ms too early while the process runs.
 */
export class ArrivalClock {
  private last = readClocks();
  private secondToLast = this.last;
  private readonly timer = setInterval(
    () => this.takeReading(),
    READING_INTERVAL_MS,
  ).unref();

  /** MessageArrival of a message that the process reads now. */
  get arrivalNow(): MessageArrival {
    return new MessageArrival(this.secondToLast);
  }

  close(): void {
    clearInterval(this.timer);
  }

  private takeReading(): void {
    this.secondToLast = this.last;
    this.last = readClocks();
  }
}

function readClocks(): Reading {
  return {monotonicMs: performance.now(), wallMs: Date.now()};
}
