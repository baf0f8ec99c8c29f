/** Scheduling state of jobs and tasks on the owner; not replicated. */
import type {QueueConfig} from '../jobs/configuration.js';
import type {AdmittedJob, Step, TaskId} from '../jobs/job_types.js';
import type {LatenessBand} from './ready_queue.js';
import type {RunProgress} from './run_progress.js';
import type {UpstreamSession} from './upstream_session.js';

/** Where a run is. */
export type RunPhase =
  /** The start order is on its way. */
  | 'starting'
  /** The start order had no answer. */
  | 'uncertain'
  | 'running'
  | 'stopping';

/** One run of a task on an upstream. */
export interface Run {
  readonly task: OpenTask;
  readonly number: number;
  readonly session: UpstreamSession;
  /** When the start order was sent, or the run was found. */
  readonly startedAt: number;
  phase: RunPhase;
  /** When the upstream confirmed the run; Infinity before. */
  confirmedAt: number;
  /** When the upstream acknowledged a stop; Infinity before. */
  stopAckedAt: number;
  readonly progress: RunProgress;
  /** Time to its end by the upstream's clock in ms; null while unknown. */
  measuredRunMs: number | null;
}

/** Where a task is. */
export type TaskPhase =
  /** Waits for earlier steps. */
  | 'blocked'
  /** May run on an upstream that has not answered this leader yet. */
  | 'unknown'
  /** Waits for a run of an earlier submission of its job to end. */
  | 'held'
  | 'ready'
  | 'active'
  /** Its last run has ended; no other follows. */
  | 'ended';

/** A task of an open job. */
export interface OpenTask {
  readonly id: TaskId;
  readonly key: string;
  readonly job: OpenJob;
  readonly step: Step;
  phase: TaskPhase;
  /** Whether the work of the task counts as waiting in its queue, and where. */
  queuedBand: LatenessBand | null;
  run: Run | null;
  /** Highest run number that may have been used. */
  lastRunNumber: number;
  /** Runs that failed, committed or not. */
  failures: number;
  /** Lives on which the task failed or was refused. */
  avoidedUpstreams: string[];
}

/** How a job came to this owner. */
export interface Arrival {
  /** When the caller's instance took the job, by the process's clock. */
  readonly receivedAt: number;
  /** Whether no earlier owner can have started it. */
  readonly isNew: boolean;
  /** When the caller of a job that isn't durable stops waiting. */
  readonly deadlineAt: number;
}

/** An open job. */
export interface OpenJob extends Arrival {
  readonly admitted: AdmittedJob;
  readonly queue: QueueConfig;
  /** Response time objective in milliseconds, from the declared times. */
  readonly objectiveMs: number;
  /** Longest chain of declared run times. */
  readonly criticalPathMs: number;
  readonly tasks: readonly (readonly OpenTask[])[];
  /** Tasks not done, by step. */
  readonly remaining: number[];
  /** Whether an upstream may have begun a task. */
  started: boolean;
  closed: boolean;
}
