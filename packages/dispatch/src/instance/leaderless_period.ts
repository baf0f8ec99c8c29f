/** The time without a leader, and the calls that wait for the next one. */
import {mayWaitForLeader} from '@mustardferry/decisions';

import {computeCriticalPathMs} from '../jobs/job_types.js';
import type {Call} from '../messages/calls.js';
import {
  DISPATCH_OVERHEAD_MS,
  MIN_RUN_TIME_FRACTION,
} from '../owner/ready_queue.js';
import {CALM_ELECTION_TIMEOUT_MS, MAX_ELECTION_MS} from './log_timing.js';

/** Tracks since when no leader is connected. */
export class LeaderlessPeriod {
  private since: number | null = performance.now();

  update(hasLeader: boolean): void {
    if (hasLeader) this.since = null;
    else this.since ??= performance.now();
  }

  /**
   * Whether a call waits for the next leader. Only jobs whose callers wait for
   * their end are given up: their results would be too late.
   */
  mayWait(call: Call, deadlineAt: number): boolean {
    if (call.type !== 'submit' || call.job.durable) return true;
    if (this.since === null) return true;
    const runMs = MIN_RUN_TIME_FRACTION * computeCriticalPathMs(call.job.steps);
    return mayWaitForLeader({
      now: performance.now(),
      leaderlessSince: this.since,
      deadlineAt,
      minServiceMs: runMs + DISPATCH_OVERHEAD_MS,
      minElectionMs: CALM_ELECTION_TIMEOUT_MS,
      maxElectionMs: MAX_ELECTION_MS,
    });
  }
}
