/**
 * Decides when callers come back that were refused without a leader.
 *
 * Load pattern: all callers of an entry instance are refused within a moment,
 * and the next leader is slower in its first second than later. Callers that
 * return together would meet it there.
 */

/** A request without a leader. */
export interface OutageRequest {
  /** Longest time in ms until an election that succeeds has ended. */
  readonly maxElectionMs: number;
  /** Fraction in [0, 1) drawn for the request. */
  readonly fraction: number;
}

const MS_PER_S = 1_000;

/**
 * Returns the time in whole s after which the caller should come back: between
 * the first second and the one after the longest election, evenly spread.
 */
export function computeOutageRetryAfterS(req: OutageRequest): number {
  const lastS = Math.ceil(req.maxElectionMs / MS_PER_S) + 1;
  return 1 + Math.floor(req.fraction * lastS);
}
