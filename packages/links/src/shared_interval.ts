/** Intervals that many connections share, so that they wake the process once. */

interface Shared {
  readonly timer: NodeJS.Timeout;
  readonly callbacks: Set<() => void>;
}

/** Running intervals by their period in ms. */
const intervals = new Map<number, Shared>();

/**
 * Calls back once per period, at the same moments as all other callbacks of
 * this period; the first call comes within one period. The interval does not
 * keep the process alive.
 *
 * @returns A function that ends the calls.
 */
export function everyShared(
  periodMs: number,
  callback: () => void,
): () => void {
  const shared = intervals.get(periodMs) ?? start(periodMs);
  shared.callbacks.add(callback);
  return () => {
    shared.callbacks.delete(callback);
    if (shared.callbacks.size > 0) return;
    clearInterval(shared.timer);
    if (intervals.get(periodMs) === shared) intervals.delete(periodMs);
  };
}

function start(periodMs: number): Shared {
  const callbacks = new Set<() => void>();
  const run = () => {
    for (const callback of callbacks) callback();
  };
  const shared = {timer: setInterval(run, periodMs).unref(), callbacks};
  intervals.set(periodMs, shared);
  return shared;
}
