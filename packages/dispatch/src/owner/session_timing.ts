/** Figures of the contact with an upstream. */

/** Durations in milliseconds. */
export const SESSION_TIMING = {
  /** Longest wait for the answer to a stop: 100 round trips. */
  stopMs: 200,
  /**
   * Longest wait for the answer to a start: 40 round trips. A short task whose
   * start was lost can then still end in time elsewhere.
   */
  startMs: 80,
  /** Longest wait for the answer to a hold, besides the wait for an end. */
  holdMs: 80,
  /** As long as an upstream of a busy pool takes from one end to the next. */
  holdWaitMs: 120,
  /** Renewal while ends wait to be committed: a fifth of a lease. */
  renewMs: 200,
  /** Pause between tries to reach an upstream that doesn't answer. */
  retryMs: 50,
  /** Pause between tries once nothing runs there any more. */
  lostRetryMs: 400,
} as const;

/** Failed holds in a row after which leases are no longer extended. */
export const SILENT_AFTER_FAILURES = 2;
