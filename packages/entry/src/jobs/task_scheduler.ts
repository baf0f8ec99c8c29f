/** Interfaces between the owners of jobs and the dispatcher. */
import type {StartItem, StartResult} from '@mustardferry/coordination';
import type {JobAnswer, OwnerEpoch, Problem} from '@mustardferry/model';

import type {JobFailure, RunningJob} from './running_job.js';

/** Operations of a job owner that the dispatcher uses. */
export abstract class JobOwnership {
  /** Fencing epoch that upstreams check; constant during one leadership. */
  abstract get epoch(): OwnerEpoch;
  /** Whether this instance may still start tasks. */
  abstract get active(): boolean;
  /**
   * Records starts on synced storage and on a second instance. A task must not be
   * sent before this resolves, nor when its start is refused.
   */
  abstract recordStarts(
    starts: readonly StartItem[],
  ): Promise<readonly StartResult[]>;
  /** Records that an attempt was not started and never will be. */
  abstract recordSeal(
    jobId: string,
    taskIndex: number,
    attempt: number,
  ): Promise<void>;
  abstract completeTask(job: RunningJob, index: number, value: unknown): void;
  abstract failJob(job: RunningJob, failure: JobFailure): void;
}

/** A task that the dispatcher runs for an owner. */
export interface ScheduledTask {
  readonly job: RunningJob;
  readonly owner: JobOwnership;
  readonly index: number;
  /** Number of the next attempt, higher than those of all earlier attempts. */
  readonly nextAttempt: number;
}

/** Accepts tasks and runs them on upstreams. */
export abstract class TaskScheduler {
  /** Decides whether a new job is admitted; a refusal carries a problem. */
  abstract admit(req: AdmissionRequest): Promise<AdmissionVerdict>;
  abstract scheduleTask(task: ScheduledTask): void;
  /** Resumes a task that an earlier owner may have started. */
  abstract resumeTask(task: ScheduledTask): void;
  /** Drops the queued tasks of a job and stops its running ones. */
  abstract cancel(job: RunningJob, answer: JobAnswer): void;
  /**
   * Leaves the tasks of a job to the next owner. Queued tasks are dropped.
   * Running tasks of a repeatable kind are stopped, since the next owner runs
   * them again and needs their slots. Others continue without a stop request, and
   * their leases are no longer renewed here: the next owner renews them and
   * awaits the outcome.
   */
  abstract releaseJob(job: RunningJob): void;
}

/** Result of admission; `reason` and `answer` go into the explanation. */
export interface AdmissionVerdict {
  readonly problem?: Problem;
  readonly reason: string;
  /** Policy answer that decided the result, as `team.section.key`. */
  readonly answer?: string;
}

/** A job that requests admission. */
export interface AdmissionRequest {
  readonly jobId: string;
  readonly job: Pick<RunningJob, 'team' | 'kind'>;
  readonly tasks: RunningJob['record']['tasks'];
}
