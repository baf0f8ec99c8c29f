/** Jobs whose steps run on upstreams under leases. */

/** Outcome that an upstream reports for a run that ended. */
export type RunOutcome =
  | 'done'
  /** Failed, through its own fault or the upstream's; counts as an attempt. */
  | 'failed'
  | 'stopped'
  | 'lease-over';

/** Names one task of a job. */
export interface TaskId {
  readonly job: string;
  readonly step: number;
  readonly index: number;
}

/** A group of equal tasks. */
export interface Step {
  readonly tasks: number;
  /** Thousandths of a processor. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  /** Declared run time on an average upstream; may be far off. */
  readonly declaredMs: number;
  /** Earlier steps that must be done first. */
  readonly after: readonly number[];
  /** Label that an upstream must carry; empty for none. */
  readonly label: string;
  /** Rack that holds the data; empty for none. */
  readonly dataRack: string;
  /** Most tasks of the step on one upstream; 0 for no limit. */
  readonly maxPerUpstream: number;
}

/** What a caller asks for. */
export interface JobRequest {
  readonly id: string;
  /** Passed to the upstream unread. */
  readonly payload: string;
  readonly steps: readonly Step[];
  /**
   * Whether an acknowledgement promises that the job survives failures. The
   * caller of a job that isn't durable waits for its end instead.
   */
  readonly durable: boolean;
}

/** An admitted job. */
export interface AdmittedJob extends JobRequest {
  /** Key of the queue, see `queueKey`. */
  readonly queue: string;
  readonly pool: string;
  readonly maxAttempts: number;
  /** Epoch milliseconds of the admission. */
  readonly admittedAt: number;
  /** Term of the leader that admitted the job. */
  readonly term: number;
}

/** State of a job as callers see it. */
export type JobState =
  'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** Marks a task as done in `JobProgress`. */
export const TASK_DONE = -1;

/**
 * For each step and task the number of failed runs, or `DONE`.
 */
export type JobProgress = number[][];

/** Stable key of a queue. */
export function getQueueKey(queue: {
  readonly host: string;
  readonly prefix: string;
}): string {
  return `${queue.host}${queue.prefix}`;
}

/** Stable text form of a task. */
export function getTaskKey({job, step, index}: TaskId): string {
  return `${job}/${step}/${index}`;
}
