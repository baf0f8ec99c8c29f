/** Timing of the contact with an upstream, in milliseconds. */
export const SESSION_TIMING = {
  /** Longest wait for the answer to an order: 100 round trips. */
  orderMs: 200,
  /** With `orderMs` this leaves time for a second try within a lease. */
  holdWaitMs: 250,
  /** Renewal while ends wait to be committed: a fifth of a lease. */
  renewMs: 200,
  /** Pause between tries to reach an upstream that doesn't answer. */
  retryMs: 50,
  /** Pause between tries once nothing runs there any more. */
  lostRetryMs: 400,
} as const;
