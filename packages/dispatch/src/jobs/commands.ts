/** Commands of the replicated state machine and their results. */
import type {
  UpstreamIncarnation,
  UpstreamRecord,
} from '../upstreams/upstream_types.js';
import type {Configuration} from './configuration.js';
import type {EvacuationChange, EvacuationRecord} from './evacuations.js';
import type {AdmittedJob, JobProgress, JobState, TaskId} from './job_types.js';

/** A run end that counts toward the progress of its job. */
export interface CountedRunEnd {
  readonly task: TaskId;
  readonly run: number;
  readonly outcome: 'done' | 'failed';
}

/** Announcements of an upstream up to a moment. */
export interface HeardUpstream {
  /** Sequence number of the newest one. */
  readonly sequence: number;
  /** Reading of the upstream's clock at that moment. */
  readonly clockMs: number;
}

/** A change to the replicated state. */
export type Command =
  | {readonly type: 'configure'; readonly configuration: Configuration}
  | {
      readonly type: 'upstream';
      readonly upstream: UpstreamRecord;
      /** Whether it was heard again after it counted as having left. */
      readonly returned?: boolean;
    }
  | {
      readonly type: 'forget-upstream';
      readonly life: UpstreamIncarnation;
      /** Whether it left at its own request, and not because it is silent. */
      readonly left?: boolean;
      /** What it had announced when it left, if known. */
      readonly heard?: HeardUpstream;
    }
  | {readonly type: 'submit'; readonly job: AdmittedJob}
  | {readonly type: 'cancel'; readonly job: string; readonly at: number}
  | {
      readonly type: 'ends';
      readonly at: number;
      readonly life: UpstreamIncarnation;
      /** Position up to which the upstream's list of run ends is included. */
      readonly upTo: number;
      readonly ends: readonly CountedRunEnd[];
    }
  | ({readonly type: 'evacuate'} & EvacuationChange)
  /** Removes jobs that ended before a time in epoch milliseconds. */
  | {readonly type: 'expire'; readonly before: number};

/** Result of a command. */
export type CommandResult =
  | {readonly type: 'done'}
  | {readonly type: 'revision'; readonly revision: number}
  | {readonly type: 'job'; readonly state: JobState | 'unknown'}
  /** The record after the command, and whether its state has changed. */
  | {
      readonly type: 'evacuation';
      readonly applied: boolean;
      readonly record: EvacuationRecord;
    };

/** A job in the replicated state. */
export interface JobRecord {
  readonly job: AdmittedJob;
  readonly progress: JobProgress;
  /** Number of tasks that are not done. */
  remaining: number;
  outcome: 'open' | 'completed' | 'failed' | 'cancelled';
  /** Epoch milliseconds; 0 while open. */
  endedAt: number;
}

/** An upstream in the replicated state. */
export interface UpstreamEntry {
  readonly record: UpstreamRecord;
  /** Position up to which its list of run ends has been applied. */
  readonly acknowledged: number;
}
