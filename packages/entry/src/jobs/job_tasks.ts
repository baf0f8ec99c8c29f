/** Submits the tasks of a job to the scheduler. */
import type {RunningJob} from './running_job.js';
import type {JobOwnership, TaskScheduler} from './task_scheduler.js';

/**
 * Range of attempt numbers per term. Each owner numbers attempts from a base of
 * its own, since an upstream runs each attempt number at most once.
 */
const ATTEMPTS_PER_TERM = 1_000;

/**
 * Schedules all tasks. A task that must not be repeated and has a recorded start
 * is resumed instead: its upstream is queried for the outcome.
 */
export function scheduleTasks(
  job: RunningJob,
  owner: JobOwnership,
  scheduler: TaskScheduler,
): void {
  const nextAttempt = owner.epoch.term * ATTEMPTS_PER_TERM + 1;
  const startedIndexes = new Set(
    job.record.starts
      .filter(start => !start.sealed)
      .map(start => start.taskIndex),
  );
  for (const index of sortLongestFirst(job)) {
    const task = {job, owner, index, nextAttempt};
    if (!job.kind.repeatable && startedIndexes.has(index))
      scheduler.resumeTask(task);
    else scheduler.scheduleTask(task);
  }
}

/**
 * Sorts task indexes by declared run time, longest first. A job ends with its
 * last task, so long tasks get the first slots (LPT rule, Graham 1969).
 */
function sortLongestFirst(job: RunningJob): readonly number[] {
  const declaredMs = job.record.tasks.map(
    task => task.expectedRunMs ?? job.kind.expectedRunMs,
  );
  return declaredMs
    .map((_ms, index) => index)
    .sort((a, b) => (declaredMs[b] ?? 0) - (declaredMs[a] ?? 0) || a - b);
}
