/**
 * Scheduling state of jobs and tasks. It lives on the owner and is not
 * replicated.
 */
import type {QueueConfig} from '../jobs/configuration.js';
import type {AdmittedJob, Step, TaskId} from '../jobs/job_types.js';
import type {LatenessBand} from './ready_queue.js';
import type {RunProgress} from './run_progress.js';
import type {UpstreamSession} from './upstream_session.js';

/** State of a run, as far as the owner knows. */
export type RunPhase =
  /** The start order was sent and has no answer yet. */
  | 'starting'
  /** The start order failed or timed out; the run may have begun. */
  | 'uncertain'
  | 'running'
  | 'stopping';

/** One run of a task on an upstream. */
export interface Run {
  readonly task: OpenTask;
  readonly number: number;
  readonly session: UpstreamSession;
  /** When the start order was sent, or an orphaned run was adopted. */
  readonly startedAt: number;
  phase: RunPhase;
  /** When the upstream confirmed the run; Infinity before. */
  confirmedAt: number;
  /** When the upstream acknowledged a stop; Infinity before. */
  stopAckedAt: number;
  readonly progress: RunProgress;
  /** Run time in ms by the upstream's clock; null while unknown. */
  measuredRunMs: number | null;
}

/** State of a task. */
export type TaskPhase =
  /** Waits for earlier steps. */
  | 'blocked'
  /** May be running on an upstream that has not answered this leader yet. */
  | 'unknown'
  /** Waits for the run of an earlier submission of its job to end. */
  | 'held'
  | 'ready'
  | 'active'
  /** Its last run has ended; no other follows. */
  | 'ended';

/** An upstream that a task is kept off for a while. */
export interface AvoidedUpstream {
  /** Key of the incarnation. */
  readonly key: string;
  /** When the task may be offered to it again, by this process's clock. */
  readonly until: number;
}

/** A task of an open job. */
export interface OpenTask {
  readonly id: TaskId;
  readonly key: string;
  readonly job: OpenJob;
  readonly step: Step;
  phase: TaskPhase;
  /**
   * Band of the ready queue that counts the work of the task; null for none.
   */
  queuedBand: LatenessBand | null;
  run: Run | null;
  /** Highest run number that may have been used. */
  lastRunNumber: number;
  /** Number of failed runs, committed or not. */
  failures: number;
  /** Upstreams on which runs of the task failed, were lost, slow or refused. */
  avoidedUpstreams: readonly AvoidedUpstream[];
}

/** When and how a job was submitted to this owner. */
export interface Arrival {
  /** When the caller's instance received the job, by this process's clock. */
  readonly receivedAt: number;
  /** Whether no earlier owner can have started it. */
  readonly isNew: boolean;
  /** When the caller stops waiting; Infinity for a durable job. */
  readonly deadlineAt: number;
}

/** Work of a job, as declared. */
export interface JobWork {
  total: number;
  /** Work of the tasks that have no run in progress and have not ended. */
  waiting: number;
}

/** An open job. */
export interface OpenJob extends Arrival {
  readonly admitted: AdmittedJob;
  readonly queue: QueueConfig;
  /** Response time objective in milliseconds, from the declared times. */
  readonly objectiveMs: number;
  /** Declared run times along the longest chain of steps, in milliseconds. */
  readonly criticalPathMs: number;
  readonly tasks: readonly (readonly OpenTask[])[];
  /** Number of tasks not done, by step. */
  readonly remaining: number[];
  /** Sums over its tasks; see `computeWork`. */
  readonly work: JobWork;
  /** Whether a task has failed as often as it may. */
  exhausted: boolean;
  /** Whether an upstream may have begun a task. */
  started: boolean;
  closed: boolean;
}
