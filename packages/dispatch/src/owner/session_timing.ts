/** Timeouts and intervals of a session with an upstream. */

/** Durations in milliseconds. */
export const SESSION_TIMING = {
  /** Timeout of a stop: 100 round trips. */
  stopMs: 200,
  /**
   * Longest timeout of a start: 40 round trips. If the start order of a short
   * task is lost, the task can still meet its objective on another upstream.
   */
  startMs: 80,
  /** Least timeout of a start, while answers come soon: 15 round trips. */
  minStartMs: 30,
  /**
   * Timeout of a hold, in addition to its wait for a run end. It doubles with
   * each hold in a row that fails, up to the maximum: the upstream may only be
   * slow, and its work must not be given up for that.
   */
  holdMs: 80,
  slowHoldMs: 320,
  /**
   * Longest wait for a run end in a hold: as long as an upstream of a busy pool
   * takes from one end to the next.
   */
  holdWaitMs: 120,
  /** Longest delay of a hold by open commits of ends: a fifth of a lease. */
  renewIntervalMs: 200,
  /** Pause between attempts to reach an upstream that doesn't answer. */
  retryPauseMs: 50,
  /** Pause between attempts once all leases expired and nothing runs there. */
  lostRetryPauseMs: 400,
} as const;

/** Consecutive failed holds after which leases are no longer extended. */
export const MAX_FAILED_HOLDS = 2;

/** Timeout in ms of a hold after others in a row that failed. */
export function getHoldTimeoutMs(failedHolds: number): number {
  const {holdMs, slowHoldMs} = SESSION_TIMING;
  return Math.min(slowHoldMs, holdMs * 2 ** failedHolds);
}
