/** Parts of calls in the owner's terms. */
import type {QueueConfig} from '../jobs/configuration.js';
import {
  type AdmittedJob,
  getQueueKey,
  type JobRequest,
} from '../jobs/job_types.js';
import type {Call, CallOrigin} from '../messages/calls.js';
import type {Arrival} from './job_table_types.js';

export type SubmitCall = Extract<Call, {type: 'submit'}>;

/** When a submission came, by the process's clock. */
export function arrivalOf(
  {job, patienceMs}: SubmitCall,
  {ageMs, repeated}: CallOrigin,
): Arrival {
  const receivedAt = performance.now() - ageMs;
  const deadlineAt = job.durable ? Infinity : receivedAt + patienceMs;
  return {receivedAt, isNew: !repeated, deadlineAt};
}

/** A job with what its queue says of it. */
export function admittedJob(
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

/** Last part of a path: the id of a job. */
export function lastSegment(path: string): string {
  return path.slice(path.lastIndexOf('/') + 1);
}
