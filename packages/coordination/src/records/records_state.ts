/** State machine of a record group. */
import {assertNever, type JobAnswer} from '@mustardferry/model';
import {pack, unpack} from 'msgpackr';

import {estimateBytes} from '../approximate_size.js';
import {SnapshotFormatError} from '../errors.js';
import {StateMachine} from '../replicated_log/state_machine.js';
import {
  createRecord,
  finishRecord,
  isMatchingAnswer,
  mergeRecord,
} from './record_changes.js';
import type {
  AdmitCommand,
  AdmitResult,
  FinishResult,
  RecordCounts,
  RecordLookup,
  RecordsCommand,
  RecordsResult,
  StartItem,
  StartResult,
  SubmissionRecord,
  TaskStart,
} from './record_messages.js';
import {type MutableRecord, RecordStore} from './record_store.js';

/** Maximum number of records until the first `configure` command. */
export const DEFAULT_MAX_RECORDS = 1_000_000;

const SNAPSHOT_FORMAT = 1;

interface GenerationMark {
  readonly generation: number;
  readonly grantedAtMs: number;
  readonly unknownUntilMs: number;
}

interface RecordsSnapshot {
  readonly format: number;
  readonly mark: GenerationMark;
  readonly maxRecords: number;
  readonly records: readonly SubmissionRecord[];
}

const FIRST_GENERATION: GenerationMark = {
  generation: 1,
  grantedAtMs: 0,
  unknownUntilMs: 0,
};

/**
 * Holds the submission records of one record group. Commands change returned
 * records in place or replace them, so callers must read them again after each
 * command.
 */
export class RecordsState extends StateMachine<RecordsCommand, RecordsResult> {
  private store = new RecordStore();
  private mark = FIRST_GENERATION;
  private maxRecords = DEFAULT_MAX_RECORDS;

  override apply(command: RecordsCommand): RecordsResult {
    switch (command.type) {
      case 'admit':
        return this.admit(command);
      case 'start':
        return {
          type: 'start',
          results: command.starts.map(item => this.start(item)),
        };
      case 'seal':
        return this.seal(command.jobId, command.taskIndex, command.attempt);
      case 'finish':
        return this.finish(command.jobId, command.answer, command.atMs);
      case 'expire':
        return {type: 'expire', dropped: this.store.expire(command.beforeMs)};
      case 'import-durable':
        return this.importDurable(command.records);
      case 'mark-generation':
        return this.markGeneration(command);
      case 'configure':
        this.maxRecords = command.maxRecords;
        return {type: 'configure', maxRecords: this.maxRecords};
      default:
        return assertNever(command);
    }
  }

  override snapshot(): Uint8Array {
    const state: RecordsSnapshot = {
      format: SNAPSHOT_FORMAT,
      mark: this.mark,
      maxRecords: this.maxRecords,
      records: this.store.getAllRecords(),
    };
    return pack(state);
  }

  /** @throws SnapshotFormatError when the bytes have another format version. */
  override restore(bytes: Uint8Array): void {
    const state = unpack(bytes) as RecordsSnapshot;
    if (state.format !== SNAPSHOT_FORMAT) {
      throw new SnapshotFormatError(`records snapshot format ${state.format}`);
    }
    this.store = new RecordStore();
    for (const record of state.records) this.store.add(record as MutableRecord);
    this.mark = state.mark;
    this.maxRecords = state.maxRecords;
  }

  /** Returns the record of a job, or undefined. */
  get(jobId: string): SubmissionRecord | undefined {
    return this.store.get(jobId);
  }

  /**
   * Like `get`, but for an unknown id also tells whether an earlier generation
   * may have admitted it.
   */
  lookUpRecord(jobId: string, nowMs: number): RecordLookup {
    const record = this.store.get(jobId);
    if (record !== undefined) return {state: 'known', record};
    if (nowMs < this.mark.unknownUntilMs) return {state: 'unknown'};
    return {state: 'never-admitted'};
  }

  /** Returns all records in order of admission, for `import-durable`. */
  records(): readonly SubmissionRecord[] {
    return this.store.getAllRecords();
  }

  /** Returns the records without an answer, in order of admission. */
  unfinished(): readonly SubmissionRecord[] {
    return this.store.unfinished();
  }

  /** Returns all records in order of admission. */
  getAllRecords(): readonly SubmissionRecord[] {
    return this.store.getAllRecords();
  }

  getCounts(): RecordCounts {
    const total = this.store.size;
    const unfinished = this.store.unfinishedCount;
    return {
      total,
      unfinished,
      finished: total - unfinished,
      maxRecords: this.maxRecords,
    };
  }

  /** Estimates the size of all records in bytes. */
  estimateBytes(): number {
    return this.store.bytes;
  }

  private admit(command: AdmitCommand): AdmitResult {
    const known = this.store.get(command.jobId);
    if (known !== undefined) {
      return known.digest === command.digest
        ? {type: 'admit', outcome: 'joined', record: known}
        : {type: 'admit', outcome: 'conflict'};
    }
    const generatedAfterGrant =
      command.keyGeneratedAtMs !== undefined &&
      command.keyGeneratedAtMs > this.mark.grantedAtMs;
    if (command.atMs < this.mark.unknownUntilMs && !generatedAfterGrant) {
      return {type: 'admit', outcome: 'unknown'};
    }
    if (this.store.size >= this.maxRecords) {
      return {type: 'admit', outcome: 'full'};
    }
    this.store.add(createRecord(command));
    return {type: 'admit', outcome: 'admitted'};
  }

  private start(item: StartItem): StartResult {
    const record = this.store.get(item.jobId);
    if (record === undefined)
      return {outcome: 'refused', reason: 'unknown-job'};
    if (record.answer !== undefined) {
      return {outcome: 'refused', reason: 'finished'};
    }
    if (record.tasks[item.taskIndex] === undefined) {
      return {outcome: 'refused', reason: 'unknown-task'};
    }
    if (!record.repeatable) {
      // Start records that only a lost member stored may be missing.
      if (record.imported) {
        return {outcome: 'refused', reason: 'earlier-generation'};
      }
      const earlier = record.starts.filter(
        start => start.taskIndex === item.taskIndex,
      );
      if (earlier.some(start => !start.sealed)) {
        return {outcome: 'refused', reason: 'already-started'};
      }
      if (earlier.some(start => start.attempt >= item.attempt)) {
        return {outcome: 'refused', reason: 'stale-attempt'};
      }
    }
    const {taskIndex, attempt, upstream, atMs} = item;
    const start: TaskStart = {
      taskIndex,
      attempt,
      upstream,
      atMs,
      sealed: false,
    };
    record.starts.push(start);
    this.store.addRecordBytes(record, estimateBytes(start));
    return {outcome: 'started'};
  }

  private seal(
    jobId: string,
    taskIndex: number,
    attempt: number,
  ): RecordsResult {
    const record = this.store.get(jobId);
    if (record === undefined) return {type: 'seal', outcome: 'unknown-job'};
    if (record.answer !== undefined) return {type: 'seal', outcome: 'finished'};
    const at = record.starts.findIndex(
      start => start.taskIndex === taskIndex && start.attempt === attempt,
    );
    const start = record.starts[at];
    if (start === undefined) return {type: 'seal', outcome: 'unknown-start'};
    record.starts[at] = {...start, sealed: true};
    return {type: 'seal', outcome: 'sealed'};
  }

  private finish(jobId: string, answer: JobAnswer, atMs: number): FinishResult {
    const record = this.store.get(jobId);
    if (record === undefined) {
      return {type: 'finish', outcome: 'refused', reason: 'unknown-job'};
    }
    if (record.answer !== undefined) {
      return {
        type: 'finish',
        outcome: 'already-finished',
        answer: record.answer,
      };
    }
    if (!isMatchingAnswer(record, answer)) {
      return {type: 'finish', outcome: 'refused', reason: 'answer-mismatch'};
    }
    const mayHaveStarted =
      record.imported || record.starts.some(start => !start.sealed);
    if (answer.outcome === 'not-run' && mayHaveStarted) {
      return {type: 'finish', outcome: 'refused', reason: 'task-started'};
    }
    finishRecord(record, answer, atMs);
    this.store.updateIndexes(record);
    return {type: 'finish', outcome: 'finished'};
  }

  private importDurable(records: readonly SubmissionRecord[]): RecordsResult {
    let imported = 0;
    for (const record of records) {
      const known = this.store.get(record.jobId);
      if (known === undefined) {
        this.store.add({...record, starts: [...record.starts], imported: true});
        imported++;
      } else if (known.digest === record.digest && known.answer === undefined) {
        mergeRecord(known, record);
        this.store.updateIndexes(known);
      }
    }
    return {type: 'import-durable', imported};
  }

  private markGeneration(mark: GenerationMark): RecordsResult {
    // A mark of an earlier generation may arrive late and must not shorten the
    // time.
    this.mark = {
      generation: Math.max(this.mark.generation, mark.generation),
      grantedAtMs: Math.max(this.mark.grantedAtMs, mark.grantedAtMs),
      unknownUntilMs: Math.max(this.mark.unknownUntilMs, mark.unknownUntilMs),
    };
    return {type: 'mark-generation', generation: this.mark.generation};
  }
}
