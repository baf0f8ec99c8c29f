/** Types of jobs, whose tasks run on upstreams under leases. */

/** Outcome that an upstream reports for a run that ended. */
export type RunOutcome =
  | 'done'
  /** The task or its upstream failed; counts as an attempt. */
  | 'failed'
  | 'stopped'
  | 'lease-over';

/** Identifies one task of a job. */
export interface TaskId {
  readonly job: string;
  readonly step: number;
  readonly index: number;
}

/** A group of tasks with the same requirements. */
export interface Step {
  readonly tasks: number;
  /** Thousandths of a processor. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  /** Declared run time in ms on an average upstream; can be inaccurate. */
  readonly declaredMs: number;
  /** Indexes of the steps that must be done first. */
  readonly after: readonly number[];
  /** Label that an upstream must have; empty for any upstream. */
  readonly label: string;
  /** Rack that holds the data; empty for none. */
  readonly dataRack: string;
  /** Maximum number of its tasks on one upstream; 0 for no limit. */
  readonly maxPerUpstream: number;
}

/** A job as submitted by a caller. */
export interface JobRequest {
  readonly id: string;
  /** Passed to the upstream uninterpreted. */
  readonly payload: string;
  readonly steps: readonly Step[];
  /**
   * Whether the job survives failures once its submission is acknowledged. The
   * caller of a non-durable job waits for its end instead.
   */
  readonly durable: boolean;
}

/** A job with the settings of the queue that admitted it. */
export interface AdmittedJob extends JobRequest {
  /** Key of the queue, see `getQueueKey`. */
  readonly queue: string;
  readonly pool: string;
  readonly maxAttempts: number;
  /** Time of the admission in epoch milliseconds. */
  readonly admittedAt: number;
  /** Term of the leader that admitted the job. */
  readonly term: number;
}

/** State of a job as callers see it. */
export type JobState =
  'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** Marks a task as done in `JobProgress`. */
export const TASK_DONE = -1;

/** For each step and task, the number of failed runs, or `TASK_DONE`. */
export type JobProgress = number[][];

/** Returns the key of a queue; it stays the same when settings change. */
export function getQueueKey(queue: {
  readonly host: string;
  readonly prefix: string;
}): string {
  return `${queue.host}${queue.prefix}`;
}

/** Returns the unique key of a task. */
export function getTaskKey({job, step, index}: TaskId): string {
  return `${job}/${step}/${index}`;
}

/** Returns the declared run times along the longest chain of steps, in ms. */
export function computeCriticalPathMs(steps: readonly Step[]): number {
  const ends: number[] = [];
  for (const step of steps) {
    const starts = step.after.map(earlier => ends[earlier] ?? 0);
    ends.push(Math.max(0, ...starts) + step.declaredMs);
  }
  return Math.max(0, ...ends);
}
