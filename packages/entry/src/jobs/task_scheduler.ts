/** How an owner hands the tasks of its jobs to the dispatcher. */
import type {StartItem, StartResult} from '@mustardferry/coordination';
import type {JobAnswer, OwnerEpoch, Problem} from '@mustardferry/model';

import type {JobFailure, RunningJob} from './running_job.js';

/** What the dispatcher needs from the owner of a job. */
export abstract class JobOwnership {
  /** Epoch that upstreams check; constant during one leadership. */
  abstract get epoch(): OwnerEpoch;
  /** Whether this instance may still start tasks. */
  abstract get active(): boolean;
  /**
   * Records starts on synced storage and a second instance. Nothing may be
   * sent before it resolves, nor for a refused start.
   */
  abstract recordStarts(
    starts: readonly StartItem[],
  ): Promise<readonly StartResult[]>;
  /** Records that an attempt never started and never will. */
  abstract recordSeal(
    jobId: string,
    taskIndex: number,
    attempt: number,
  ): Promise<void>;
  abstract completeTask(job: RunningJob, index: number, value: unknown): void;
  abstract failJob(job: RunningJob, failure: JobFailure): void;
}

/** A task for the dispatcher. */
export interface ScheduledTask {
  readonly job: RunningJob;
  readonly owner: JobOwnership;
  readonly index: number;
  /** Number of the next attempt; higher than all earlier ones. */
  readonly nextAttempt: number;
}

/** Accepts tasks and runs them on upstreams. */
export abstract class TaskScheduler {
  /** Decides whether a new job may enter; with a problem when it may not. */
  abstract admit(req: AdmissionRequest): Promise<AdmissionVerdict>;
  abstract scheduleTask(task: ScheduledTask): void;
  /** Resumes a task that an earlier owner may have started. */
  abstract resumeTask(task: ScheduledTask): void;
  /** Drops the queued tasks of a job and stops its running ones. */
  abstract cancel(job: RunningJob, answer: JobAnswer): void;
  /**
   * Leaves the tasks of a job to the next owner. Queued tasks are dropped.
   * Running tasks of a repeatable kind are stopped, since the next owner runs
   * them again and needs their slots. Others go on without a stop request and
   * without renewals from here: the next owner renews and awaits them.
   */
  abstract releaseJob(job: RunningJob): void;
}

/** Verdict about a job; `reason` and `answer` go into its explanation. */
export interface AdmissionVerdict {
  readonly problem?: Problem;
  readonly reason: string;
  /** Written answer that decided, as `team.section.key`. */
  readonly answer?: string;
}

/** A job that asks for admission. */
export interface AdmissionRequest {
  readonly jobId: string;
  readonly job: Pick<RunningJob, 'team' | 'kind'>;
  readonly tasks: RunningJob['record']['tasks'];
}
