/** Decides which ended jobs are removed from the replicated state. */

/**
 * Largest step in ms of the time of day between the end of a job and its
 * removal, also between two leaders, that does not shorten the time for which
 * the job must be known.
 */
const MAX_CLOCK_STEP_MS = 10_000;

/** Returns the time of day; jobs that ended earlier are removed. */
export function computeExpiryBefore(keepEndedMs: number): number {
  return Date.now() - keepEndedMs - MAX_CLOCK_STEP_MS;
}
