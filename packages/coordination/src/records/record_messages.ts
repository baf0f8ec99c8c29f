/** Commands, results and records of one record group. */
import type {JobAnswer, TaskSpec, UpstreamId} from '@mustardferry/model';

/** A recorded start of a task that must not be repeated. */
export interface TaskStart {
  readonly taskIndex: number;
  /** From 1; grows with each start of the same task. */
  readonly attempt: number;
  readonly upstream: UpstreamId;
  readonly atMs: number;
  /** The upstream confirmed that it never started this attempt nor will. */
  readonly sealed: boolean;
}

/** What the group knows about one submission. Times are epoch milliseconds. */
export interface SubmissionRecord {
  readonly jobId: string;
  readonly team: string;
  readonly kind: string;
  readonly idempotencyKey: string;
  /** Digest of the submitted body. */
  readonly digest: string;
  readonly repeatable: boolean;
  readonly taskCount: number;
  /** Empty once the job is finished; payloads are needed no longer then. */
  readonly tasks: readonly TaskSpec[];
  /** Milliseconds after `admittedAtMs` when queued tasks are dropped. */
  readonly deadlineMs?: number;
  readonly admittedAtMs: number;
  readonly keepUntilMs: number;
  /** Empty once the job is finished. */
  readonly starts: readonly TaskStart[];
  /** Taken over from an earlier generation, whose later entries may be lost. */
  readonly imported: boolean;
  readonly answer?: JobAnswer;
  readonly finishedAtMs?: number;
}

/** Admits a submission, unless its id is known. */
export interface AdmitCommand {
  readonly type: 'admit';
  readonly jobId: string;
  readonly team: string;
  readonly kind: string;
  readonly idempotencyKey: string;
  readonly digest: string;
  readonly repeatable: boolean;
  readonly tasks: readonly TaskSpec[];
  /** Milliseconds after `atMs` when queued tasks are dropped. */
  readonly deadlineMs?: number;
  readonly atMs: number;
  readonly keepUntilMs: number;
  /**
   * When an instance generated the key itself. A key generated after the grant
   * of the generation can't have been admitted in an earlier one.
   */
  readonly keyGeneratedAtMs?: number;
}

/** One start of a batch. */
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
  /** Drops finished records with `keepUntilMs` before this time. */
  | {readonly type: 'expire'; readonly beforeMs: number}
  /** Takes over what disks kept of an earlier generation. */
  | {
      readonly type: 'import-durable';
      readonly records: readonly SubmissionRecord[];
    }
  /**
   * Opens a generation that follows a lost one: ids that it does not know are
   * answered `unknown` until `unknownUntilMs` (grant time plus retention).
   */
  | {
      readonly type: 'mark-generation';
      readonly generation: number;
      readonly grantedAtMs: number;
      readonly unknownUntilMs: number;
    }
  /**
   * Sets the most records kept. A command and not a constructor option, so
   * that instances with different settings decide alike.
   */
  | {readonly type: 'configure'; readonly maxRecords: number};

/** Why a start was refused; nothing may be sent to the upstream. */
export type StartRefusalReason =
  | 'unknown-job'
  | 'unknown-task'
  | 'finished'
  | 'already-started'
  | 'stale-attempt'
  | 'earlier-generation';

/** Result for one start of a batch, in the order of the batch. */
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

/** Result of `finish`; the first answer of a job stays. */
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

/** Results of commands, by type of the command. */
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

/** What a query by job id tells. */
export type RecordLookup =
  | {readonly state: 'known'; readonly record: SubmissionRecord}
  /** The id may belong to an earlier generation. */
  | {readonly state: 'unknown'}
  | {readonly state: 'never-admitted'};

/** Numbers of records. */
export interface RecordCounts {
  readonly total: number;
  readonly unfinished: number;
  readonly finished: number;
  readonly maxRecords: number;
}
