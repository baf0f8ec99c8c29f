/** Table of the open jobs and their tasks. */
import type {JobRecord} from '../jobs/commands.js';
import type {QueueConfig} from '../jobs/configuration.js';
import {
  type AdmittedJob,
  computeCriticalPathMs,
  type JobProgress,
  type JobRequest,
  type Step,
  TASK_DONE,
} from '../jobs/job_types.js';
import type {Arrival, OpenJob, OpenTask, Run} from './job_table_types.js';
import {JobTask} from './open_task.js';
import {ReadyQueue} from './ready_queue.js';

/**
 * Run numbers that a leader skips for each term since a job's admission, as it
 * may not know the runs of the leaders in between.
 */
const RUN_NUMBERS_PER_TERM = 16;

/**
 * Holds the scheduling state of all open jobs, and a ready queue for each pool.
 */
export class JobTable {
  private readonly jobs = new Map<string, OpenJob>();
  private readonly tasks = new Map<string, OpenTask>();
  private readonly queues = new Map<string, ReadyQueue>();

  get openCount(): number {
    return this.jobs.size;
  }

  /** Number of tasks that wait for an upstream. */
  get readyCount(): number {
    let count = 0;
    for (const queue of this.queues.values()) count += queue.size;
    return count;
  }

  get openJobs(): readonly OpenJob[] {
    return [...this.jobs.values()];
  }

  job(id: string): OpenJob | undefined {
    return this.jobs.get(id);
  }

  task(key: string): OpenTask | undefined {
    return this.tasks.get(key);
  }

  /** Ready queues by pool. */
  get readyQueues(): ReadonlyMap<string, ReadyQueue> {
    return this.queues;
  }

  /**
   * Adds a job that this leader admits.
   *
   * @param findDiscardedRun Returns the run of an earlier submission that a
   *     task has to wait for.
   */
  admit(
    admitted: AdmittedJob,
    queue: QueueConfig,
    arrival: Arrival,
    findDiscardedRun: (task: string) => Run | undefined,
  ): OpenJob {
    const job = this.create(admitted, queue, arrival, null);
    for (const task of job.tasks.flat()) {
      const earlier = findDiscardedRun(task.key);
      if (!earlier) continue;
      task.phase = 'held';
      task.lastRunNumber = earlier.number;
    }
    this.unblock(job);
    return job;
  }

  /**
   * Adds a job that an earlier leader admitted; its tasks may be running on an
   * upstream. It counts as started until the recovery is complete.
   */
  recover(
    record: JobRecord,
    queue: QueueConfig,
    now: number,
    term: number,
  ): OpenJob {
    const receivedAt = now - Math.max(0, Date.now() - record.job.admittedAt);
    const arrival = {receivedAt, isNew: false, deadlineAt: Infinity};
    const job = this.create(record.job, queue, arrival, record.progress);
    const lastRunNumber = (term - record.job.term) * RUN_NUMBERS_PER_TERM;
    for (const task of job.tasks.flat()) {
      task.lastRunNumber = lastRunNumber;
      if (task.phase === 'blocked') task.phase = 'unknown';
    }
    job.started = true;
    return job;
  }

  /** Unblocks the recovered tasks that no upstream has listed as running. */
  completeRecovery(jobs: Iterable<OpenJob> = this.jobs.values()): void {
    for (const job of jobs) {
      const tasks = job.tasks.flat();
      const unlisted = tasks.filter(({phase}) => phase === 'unknown');
      if (unlisted.length === tasks.length) {
        job.started = tasks.some(({failures}) => failures > 0);
      }
      for (const task of unlisted) task.phase = 'blocked';
      this.unblock(job);
    }
  }

  /**
   * Requeues a task whose run ended without a result. It is blocked again if an
   * earlier step that this leader has to run is not done.
   */
  requeue(task: OpenTask): void {
    task.run = null;
    if (task.job.closed || task.phase === 'ended') return;
    if (isStepReady(task.job, task.step)) this.makeReady(task);
    else task.phase = 'blocked';
  }

  /** Marks a task as done and unblocks the steps that depend on it. */
  completeTask(task: OpenTask): void {
    task.run = null;
    if (task.phase === 'ended') return;
    task.phase = 'ended';
    const {step} = task.id;
    task.job.remaining[step] = (task.job.remaining[step] ?? 1) - 1;
    if (task.job.remaining[step] === 0) this.unblock(task.job);
  }

  /** Removes a job; returns its runs, which the caller has to stop. */
  closeJob(id: string): readonly Run[] {
    const job = this.jobs.get(id);
    if (!job) return [];
    job.closed = true;
    this.jobs.delete(id);
    const runs: Run[] = [];
    const queue = this.queues.get(job.admitted.pool);
    for (const task of job.tasks.flat()) {
      queue?.subtractWork(task);
      this.tasks.delete(task.key);
      task.phase = 'ended';
      if (task.run) runs.push(task.run);
    }
    return runs;
  }

  /** Number of jobs of a queue of which no task has started. */
  pending(queue: string): number {
    let count = 0;
    for (const job of this.jobs.values()) {
      if (!job.started && job.admitted.queue === queue) count++;
    }
    return count;
  }

  private create(
    admitted: AdmittedJob,
    queue: QueueConfig,
    arrival: Arrival,
    progress: JobProgress | null,
  ): OpenJob {
    const tasks: OpenTask[][] = [];
    const job: OpenJob = {
      admitted,
      queue,
      ...arrival,
      ...computeExpectedTimes(admitted, queue),
      tasks,
      remaining: [],
      work: {total: 0, waiting: 0},
      exhausted: false,
      started: false,
      closed: false,
    };
    admitted.steps.forEach((step, index) => {
      tasks.push(createTasks(job, step, index, progress?.[index]));
    });
    for (const list of tasks) {
      job.remaining.push(list.filter(task => task.phase !== 'ended').length);
      for (const task of list) this.tasks.set(task.key, task);
    }
    this.jobs.set(admitted.id, job);
    return job;
  }

  private unblock(job: OpenJob): void {
    job.admitted.steps.forEach((step, index) => {
      if (!isStepReady(job, step)) return;
      for (const task of job.tasks[index] ?? []) {
        if (task.phase === 'blocked') this.makeReady(task);
      }
    });
  }

  private makeReady(task: OpenTask): void {
    task.phase = 'ready';
    const {pool} = task.job.admitted;
    const queue = this.queues.get(pool);
    if (queue) {
      queue.add(task);
      return;
    }
    const created = new ReadyQueue();
    this.queues.set(pool, created);
    created.add(task);
  }
}

/** Whether all steps that a step depends on are done. */
function isStepReady({remaining}: OpenJob, {after}: Step): boolean {
  return after.every(earlier => (remaining[earlier] ?? 0) === 0);
}

function createTasks(
  job: OpenJob,
  step: Step,
  stepIndex: number,
  progress: readonly number[] | undefined,
): OpenTask[] {
  return Array.from({length: step.tasks}, (_, index) => {
    const id = {job: job.admitted.id, step: stepIndex, index};
    const failures = progress?.[index] ?? 0;
    const phase = failures === TASK_DONE ? 'ended' : 'blocked';
    return new JobTask(id, job, step, phase, Math.max(0, failures));
  });
}

/**
 * Returns the critical path of a job by its declared run times, and the
 * response time objective that follows from it, in ms.
 */
export function computeExpectedTimes(
  {steps}: Pick<JobRequest, 'steps'>,
  {stretch, targetMs}: QueueConfig,
): Pick<OpenJob, 'criticalPathMs' | 'objectiveMs'> {
  const criticalPathMs = computeCriticalPathMs(steps);
  return {criticalPathMs, objectiveMs: stretch * criticalPathMs + targetMs};
}
