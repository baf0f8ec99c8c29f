/** State of a task in the dispatcher. */
import type {QueuedTask} from '@mustardferry/decisions';

import type {ScheduledTask} from '../jobs/task_scheduler.js';
import type {TaskAttempt} from './task_attempt.js';

/** One running attempt of a task. */
export interface RunningAttempt {
  readonly attempt: number;
  readonly upstream: string;
  readonly startedAtMs: number;
  readonly expectedRunMs: number;
  /** Id of the attempt for the charge to its team and the count at its upstream. */
  readonly chargeId: string;
  /** Whether an earlier owner started it, so that it uses no credit here. */
  readonly resumed?: boolean;
  run?: TaskAttempt;
  /**
   * Leaves lease renewal to another instance. Has no effect after the attempt has
   * ended.
   */
  stopLeaseRenewal?: () => void;
}

/** A task with its queue entry and its attempts. */
export interface TaskEntry {
  readonly task: ScheduledTask;
  readonly queued: QueuedTask;
  /** Upstreams on which an attempt gave no result; routing avoids them. */
  readonly excludedUpstreams: Set<string>;
  readonly running: Map<number, RunningAttempt>;
  nextAttempt: number;
  /** Number of attempts that were sent, including hedges. */
  sentCount: number;
  /** Upstreams on which the task itself ended with an error. */
  readonly failedOn: Set<string>;
  /** Current phase. The entry of an `ended` task stays until its attempts end. */
  phase: 'queued' | 'running' | 'backing-off' | 'ended';
}
