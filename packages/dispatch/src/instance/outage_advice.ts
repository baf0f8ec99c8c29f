/** Tells callers when to come back that found no leader. */
import {computeOutageRetryAfterS} from '@mustardferry/decisions';

import {MAX_ELECTION_MS} from './log_timing.js';

/**
 * Draws the time in whole s after which a caller should come back.
 *
 * @param random Returns a number in [0, 1).
 */
export function drawOutageRetryAfterS(random = Math.random): number {
  return computeOutageRetryAfterS({
    maxElectionMs: MAX_ELECTION_MS,
    fraction: random(),
  });
}
