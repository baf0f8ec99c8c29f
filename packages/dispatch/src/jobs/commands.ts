/** Commands of the replicated state and their results. */
import type {
  UpstreamIncarnation,
  UpstreamRecord,
} from '../upstreams/upstream_types.js';
import type {Configuration} from './configuration.js';
import type {AdmittedJob, JobProgress, JobState, TaskId} from './job_types.js';

/** An end that changes a job. */
export interface CountedRunEnd {
  readonly task: TaskId;
  readonly run: number;
  readonly outcome: 'done' | 'failed';
}

/** Changes of the replicated state. */
export type Command =
  | {readonly type: 'configure'; readonly configuration: Configuration}
  | {readonly type: 'upstream'; readonly upstream: UpstreamRecord}
  | {readonly type: 'forget-upstream'; readonly life: UpstreamIncarnation}
  | {readonly type: 'submit'; readonly job: AdmittedJob}
  | {readonly type: 'cancel'; readonly job: string; readonly at: number}
  | {
      readonly type: 'ends';
      readonly at: number;
      readonly life: UpstreamIncarnation;
      /** Position in the upstream's list up to which ends are included. */
      readonly upTo: number;
      readonly ends: readonly CountedRunEnd[];
    }
  /** Forgets jobs that ended before a time, epoch milliseconds. */
  | {readonly type: 'expire'; readonly before: number};

/** What a command did. */
export type CommandResult =
  | {readonly type: 'done'}
  | {readonly type: 'revision'; readonly revision: number}
  | {readonly type: 'job'; readonly state: JobState | 'unknown'};

/** A job as the replicated state holds it. */
export interface JobRecord {
  readonly job: AdmittedJob;
  readonly progress: JobProgress;
  /** Tasks that are not done. */
  remaining: number;
  outcome: 'open' | 'completed' | 'failed' | 'cancelled';
  /** Epoch milliseconds; 0 while open. */
  endedAt: number;
}

/** An upstream as the replicated state holds it. */
export interface UpstreamEntry {
  readonly record: UpstreamRecord;
  /** Position up to which its ends are part of the state. */
  readonly acknowledged: number;
}
