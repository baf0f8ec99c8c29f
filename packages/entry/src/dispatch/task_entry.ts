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
  run?: TaskAttempt;
}

/** A task with its queue form and its attempts. */
export interface TaskEntry {
  readonly task: ScheduledTask;
  readonly queued: QueuedTask;
  /** Upstreams where it failed. */
  readonly excluded: Set<string>;
  readonly running: Map<number, RunningAttempt>;
  nextAttempt: number;
  /** Attempts that were sent, hedges included. */
  sent: number;
  /** Upstreams on which the task itself ended with an error. */
  readonly failedOn: Set<string>;
  /** Where the task is now. */
  place: 'queued' | 'running' | 'backing-off' | 'ended';
}
