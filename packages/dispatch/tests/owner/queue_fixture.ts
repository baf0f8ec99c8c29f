/** Fixtures for tests of the ready queue. */
import type {Step} from '../../src/jobs/job_types.js';
import {JobTable} from '../../src/owner/job_table.js';
import type {OpenTask} from '../../src/owner/job_table_types.js';
import {
  type LatenessBand,
  type OfferResult,
  type ReadyQueue,
} from '../../src/owner/ready_queue.js';
import {QUEUE, step} from '../owner_harness.js';

/** Job of the tasks to create. */
export interface TaskOptions {
  readonly priority?: number;
  readonly receivedAt?: number;
  readonly started?: boolean;
  readonly tasks?: number;
  readonly deadlineAt?: number;
  readonly step?: Partial<Step>;
}

/** Creates the ready tasks of one job. */
export function createTasks(
  id: string,
  options: TaskOptions = {},
): readonly OpenTask[] {
  const {priority = 0, receivedAt = 0, started = false, tasks = 1} = options;
  const {deadlineAt = Infinity} = options;
  const job = new JobTable().admit(
    {
      id,
      payload: '',
      steps: [step(tasks, {declaredMs: 100, ...options.step})],
      durable: false,
      queue: 'q',
      pool: 'pool',
      maxAttempts: 2,
      admittedAt: 0,
      term: 1,
    },
    // The objective is 2 * 100 + 60 ms.
    {...QUEUE, priority},
    {receivedAt, isNew: true, deadlineAt},
    () => undefined,
  );
  job.started = started;
  const created = job.tasks.flat();
  // The tasks count in the job table's queue; each test adds them to its own.
  for (const task of created) task.queuedBand = null;
  return created;
}

/** Runs one pass; returns what it offered and dropped. */
export function offerAll(
  queue: ReadyQueue,
  now: number,
  result: (task: OpenTask) => OfferResult = () => 'placed',
  drops = false,
  servesLate = true,
): string[] {
  const seen: string[] = [];
  queue.offerAll({
    now,
    fastestTimeFactor: 1,
    mayStart: () => true,
    offer: (task: OpenTask, band: LatenessBand) => {
      seen.push(`${task.id.job} ${band}`);
      return result(task);
    },
    dropJob: (task: OpenTask) => {
      if (!drops) return false;
      seen.push(`${task.id.job} dropped`);
      return true;
    },
    canServeLate: () => servesLate,
  });
  return seen;
}
