/** A task on its way through the dispatcher. */
import type {QueuedTask} from '@mustardferry/decisions';

import type {ScheduledTask} from '../jobs/task_scheduler.js';
import type {TaskAttempt} from './task_attempt.js';

/** One running attempt of a task. */
export interface RunningAttempt {
  readonly attempt: number;
  readonly upstream: string;
  readonly startedAtMs: number;
  readonly expectedRunMs: number;
  /** Id under which the attempt is charged and counted at its upstream. */
  readonly chargeId: string;
  /** Started by an earlier owner, so it uses no credit of this instance. */
  readonly resumed?: boolean;
  run?: TaskAttempt;
  /** Leaves the lease to another instance; no effect once the attempt ended. */
  stopLeaseRenewal?: () => void;
}

/** A task with its queue form and its attempts. */
export interface TaskEntry {
  readonly task: ScheduledTask;
  readonly queued: QueuedTask;
  /** Upstreams where it failed. */
  readonly excludedUpstreams: Set<string>;
  readonly running: Map<number, RunningAttempt>;
  nextAttempt: number;
  /** Attempts that were sent, hedges included. */
  sentCount: number;
  /** Upstreams on which the task itself ended with an error. */
  readonly failedUpstreams: Set<string>;
  /** Where the task is now. */
  phase: 'queued' | 'running' | 'backing-off' | 'ended';
}
