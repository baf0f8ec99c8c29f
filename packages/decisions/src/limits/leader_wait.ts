/**
 * Decides whether a request waits for the next leader.
 *
 * Load pattern: callers go on at full rate while a leader is lost. Most elections
 * end soon, and what waits for them is served; but a request that can't be
 * served any more, or whose group has lost its majority, would be held for its
 * whole deadline and load the next leader with work that nobody waits for.
 */

/** A request without a leader. Times are in ms on one time base. */
export interface LeaderWait {
  readonly now: number;
  /** Since when no leader is known. */
  readonly leaderlessSince: number;
  /** When the caller stops waiting. */
  readonly deadlineAt: number;
  /** Least time from the arrival at a leader to the answer. */
  readonly minServiceMs: number;
  /** Least and most duration of one round of an election. */
  readonly minElectionMs: number;
  readonly maxElectionMs: number;
}

/** Election rounds of full length after which no leader can be foreseen. */
const MAX_ELECTION_ROUNDS = 2;

/**
 * Whether the request can still be answered in time if the next leader appears
 * as soon as it may.
 */
export function mayWaitForLeader(wait: LeaderWait): boolean {
  const {now, leaderlessSince, minElectionMs, maxElectionMs} = wait;
  if (now - leaderlessSince > MAX_ELECTION_ROUNDS * maxElectionMs) return false;
  const expectedAt = Math.max(now, leaderlessSince + minElectionMs);
  return expectedAt + wait.minServiceMs <= wait.deadlineAt;
}
