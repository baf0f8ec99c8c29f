/** Converts parts of calls to the types of the owner. */
import type {QueueConfig} from '../jobs/configuration.js';
import {
  type AdmittedJob,
  getQueueKey,
  type JobRequest,
} from '../jobs/job_types.js';
import type {Call, CallOrigin} from '../messages/calls.js';
import type {Arrival} from './job_table_types.js';

export type SubmitCall = Extract<Call, {type: 'submit'}>;

/** Arrival of a submission, on the process's monotonic clock. */
export function createArrival(
  {job, patienceMs}: SubmitCall,
  {ageMs, repeated}: CallOrigin,
): Arrival {
  const receivedAt = performance.now() - ageMs;
  const deadlineAt = job.durable ? Infinity : receivedAt + patienceMs;
  return {receivedAt, isNew: !repeated, deadlineAt};
}

/** Combines a job with the settings of its queue. */
export function createAdmittedJob(
  job: JobRequest,
  queue: QueueConfig,
  term: number,
): AdmittedJob {
  return {
    ...job,
    queue: getQueueKey(queue),
    pool: queue.pool,
    maxAttempts: queue.maxAttempts,
    admittedAt: Date.now(),
    term,
  };
}

/** Returns the last segment of a path, which is the id of a job. */
export function extractJobId(path: string): string {
  return path.slice(path.lastIndexOf('/') + 1);
}
