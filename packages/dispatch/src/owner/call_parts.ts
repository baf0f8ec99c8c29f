/** Parts of calls in the owner's terms. */
import type {QueueConfig} from '../jobs/configuration.js';
import {
  type AdmittedJob,
  type JobRequest,
  queueKey,
} from '../jobs/job_types.js';
import type {CallOrigin} from '../messages/calls.js';
import type {Arrival} from './board_types.js';

/** When a call came, by the process's clock. */
export function arrivalOf({ageMs, repeated}: CallOrigin): Arrival {
  return {since: performance.now() - ageMs, isNew: !repeated};
}

/** A job with what its queue says of it. */
export function admittedJob(
  job: JobRequest,
  queue: QueueConfig,
  term: number,
): AdmittedJob {
  return {
    ...job,
    queue: queueKey(queue),
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
