/** Tasks of open jobs. */
import {getTaskKey, type Step, type TaskId} from '../jobs/job_types.js';
import type {
  AvoidedUpstream,
  OpenJob,
  OpenTask,
  Run,
  TaskPhase,
} from './job_table_types.js';
import {computeWork, type LatenessBand} from './ready_queue.js';

/**
 * Updates the sums of its job with each change of its phase, so that a decision
 * about a task doesn't read all tasks of the job.
 */
export class JobTask implements OpenTask {
  readonly key: string;
  queuedBand: LatenessBand | null = null;
  run: Run | null = null;
  lastRunNumber = 0;
  avoidedUpstreams: readonly AvoidedUpstream[] = [];
  private currentPhase: TaskPhase;

  constructor(
    readonly id: TaskId,
    readonly job: OpenJob,
    readonly step: Step,
    phase: TaskPhase,
    public failures: number,
  ) {
    this.key = getTaskKey(id);
    this.currentPhase = phase;
    const work = computeWork(this);
    job.work.total += work;
    if (isWaiting(phase)) job.work.waiting += work;
  }

  get phase(): TaskPhase {
    return this.currentPhase;
  }

  set phase(phase: TaskPhase) {
    const change = Number(isWaiting(phase)) - Number(isWaiting(this.phase));
    this.job.work.waiting += change * computeWork(this);
    this.currentPhase = phase;
  }
}

function isWaiting(phase: TaskPhase): boolean {
  return phase !== 'active' && phase !== 'ended';
}
