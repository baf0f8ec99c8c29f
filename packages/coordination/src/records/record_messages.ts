/** Commands, results and records of one record group. */
import type {JobAnswer, TaskSpec, UpstreamId} from '@mustardferry/model';

/** A recorded start of a task. */
export interface TaskStart {
  readonly taskIndex: number;
  /** Starts at 1 and grows with each start of the same task. */
  readonly attempt: number;
  readonly upstream: UpstreamId;
  readonly atMs: number;
  /** The upstream confirmed that this attempt never started and never will. */
  readonly sealed: boolean;
}

/** The record of one submission. Times are epoch milliseconds. */
export interface SubmissionRecord {
  readonly jobId: string;
  readonly team: string;
  readonly kind: string;
  readonly idempotencyKey: string;
  /** Digest of the submitted body. */
  readonly digest: string;
  readonly repeatable: boolean;
  readonly taskCount: number;
  /** Empty once the job is finished, when the payloads are no longer needed. */
  readonly tasks: readonly TaskSpec[];
  /** Queued tasks are dropped this many milliseconds after `admittedAtMs`. */
  readonly deadlineMs?: number;
  readonly admittedAtMs: number;
  readonly keepUntilMs: number;
  /** Empty once the job is finished. */
  readonly starts: readonly TaskStart[];
  /** Imported from an earlier generation, whose later entries may be lost. */
  readonly imported: boolean;
  readonly answer?: JobAnswer;
  readonly finishedAtMs?: number;
}

/** Admits a submission unless its job id is known. */
export interface AdmitCommand {
  readonly type: 'admit';
  readonly jobId: string;
  readonly team: string;
  readonly kind: string;
  readonly idempotencyKey: string;
  readonly digest: string;
  readonly repeatable: boolean;
  readonly tasks: readonly TaskSpec[];
  /** Queued tasks are dropped this many milliseconds after `atMs`. */
  readonly deadlineMs?: number;
  readonly atMs: number;
  readonly keepUntilMs: number;
  /**
   * Time at which an instance generated the idempotency key; absent for a key
   * supplied by the client. A key generated after the generation was granted
   * can't have been admitted in an earlier one.
   */
  readonly keyGeneratedAtMs?: number;
}

/** One of the starts in a `start` command. */
export interface StartItem {
  readonly jobId: string;
  readonly taskIndex: number;
  readonly attempt: number;
  readonly upstream: UpstreamId;
  readonly atMs: number;
}

/** Commands of a record group. */
export type RecordsCommand =
  | AdmitCommand
  | {readonly type: 'start'; readonly starts: readonly StartItem[]}
  | {
      readonly type: 'seal';
      readonly jobId: string;
      readonly taskIndex: number;
      readonly attempt: number;
    }
  | {
      readonly type: 'finish';
      readonly jobId: string;
      readonly answer: JobAnswer;
      readonly atMs: number;
    }
  /** Drops finished records whose `keepUntilMs` is before this time. */
  | {readonly type: 'expire'; readonly beforeMs: number}
  /** Imports the records of an earlier generation that were stored on disks. */
  | {
      readonly type: 'import-durable';
      readonly records: readonly SubmissionRecord[];
    }
  /**
   * Opens a generation that follows a lost one. Ids that it does not know are
   * answered with `unknown` until `unknownUntilMs`, which is the time of the
   * grant plus the retention time.
   */
  | {
      readonly type: 'mark-generation';
      readonly generation: number;
      readonly grantedAtMs: number;
      readonly unknownUntilMs: number;
    }
  /**
   * Sets the maximum number of records. This is a command and not a constructor
   * option, so that instances with different settings decide alike.
   */
  | {readonly type: 'configure'; readonly maxRecords: number};

/** Why a start was refused; it must not be sent to the upstream. */
export type StartRefusalReason =
  | 'unknown-job'
  | 'unknown-task'
  | 'finished'
  | 'already-started'
  | 'stale-attempt'
  | 'earlier-generation';

/** Result of one start in a `start` command, in the order of the command. */
export type StartResult =
  | {readonly outcome: 'started'}
  | {readonly outcome: 'refused'; readonly reason: StartRefusalReason};

/** Result of `admit`. */
export type AdmitResult =
  | {readonly type: 'admit'; readonly outcome: 'admitted'}
  | {
      readonly type: 'admit';
      readonly outcome: 'joined';
      readonly record: SubmissionRecord;
    }
  | {readonly type: 'admit'; readonly outcome: 'conflict'}
  /** The id may have been admitted in an earlier generation. */
  | {readonly type: 'admit'; readonly outcome: 'unknown'}
  /** The group holds its maximum number of records; nothing was recorded. */
  | {readonly type: 'admit'; readonly outcome: 'full'};

/** Result of `finish`. The first answer of a job is never replaced. */
export type FinishResult =
  | {readonly type: 'finish'; readonly outcome: 'finished'}
  | {
      readonly type: 'finish';
      readonly outcome: 'already-finished';
      readonly answer: JobAnswer;
    }
  | {
      readonly type: 'finish';
      readonly outcome: 'refused';
      readonly reason: 'unknown-job' | 'answer-mismatch' | 'task-started';
    };

/** Result of a command; `type` is that of the command. */
export type RecordsResult =
  | AdmitResult
  | FinishResult
  | {readonly type: 'start'; readonly results: readonly StartResult[]}
  | {
      readonly type: 'seal';
      readonly outcome: 'sealed' | 'unknown-job' | 'unknown-start' | 'finished';
    }
  | {readonly type: 'expire'; readonly dropped: number}
  | {readonly type: 'import-durable'; readonly imported: number}
  | {readonly type: 'mark-generation'; readonly generation: number}
  | {readonly type: 'configure'; readonly maxRecords: number};

/** Result of a query by job id. */
export type RecordLookup =
  | {readonly state: 'known'; readonly record: SubmissionRecord}
  /** The id may belong to an earlier generation. */
  | {readonly state: 'unknown'}
  | {readonly state: 'never-admitted'};

/** Number of records by state, and their maximum. */
export interface RecordCounts {
  readonly total: number;
  readonly unfinished: number;
  readonly finished: number;
  readonly maxRecords: number;
}
