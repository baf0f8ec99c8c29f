/** Restores a log from its snapshot and its journal. */
import type {JournalRecord} from '@mustardferry/storage';
import {unpack} from 'msgpackr';

import {LogStorageError} from '../errors.js';
import type {
  StoredEntry,
  StoredLogContent,
  StoredSnapshot,
} from './stored_log.js';

/** A change of the log, stored as one journal record. */
export type LogRecord<C> =
  | {readonly type: 'append'; readonly entries: readonly StoredEntry<C>[]}
  | {readonly type: 'truncate'; readonly from: number}
  | {
      readonly type: 'vote';
      readonly term: number;
      readonly votedFor: string | null;
    };

/** Content of a snapshot file. */
export interface SnapshotFile {
  readonly format: 1;
  readonly snapshot: StoredSnapshot;
  /** Term when the snapshot was taken; later ones are in the journal. */
  readonly term: number;
  /** Vote when the snapshot was taken; later ones are in the journal. */
  readonly votedFor: string | null;
  /** Sequence of the first journal record after the snapshot was taken. */
  readonly position: number;
  /** Whether entries from before `position` stay valid. */
  readonly keepSuffix: boolean;
}

/** Restores a log from its journal records, added in order. */
export class LogRecovery<C> {
  private term = 0;
  private votedFor: string | null = null;
  private readonly entries = new Map<number, StoredEntry<C>>();
  /** Journal sequence of each entry. */
  private readonly sequences = new Map<number, number>();

  constructor(private readonly file: SnapshotFile | undefined) {
    this.term = file?.term ?? 0;
    this.votedFor = file?.votedFor ?? null;
  }

  add({index: sequence, payload}: JournalRecord): void {
    const record = unpack(payload) as LogRecord<C>;
    const earlier = sequence < (this.file?.position ?? 0);
    if (earlier && this.file?.keepSuffix === false) return;
    switch (record.type) {
      case 'append':
        for (const entry of record.entries) {
          if (entry.index <= (this.file?.snapshot.index ?? 0)) continue;
          this.entries.set(entry.index, entry);
          this.sequences.set(entry.index, sequence);
        }
        break;
      case 'truncate':
        for (const index of [...this.entries.keys()].reverse()) {
          if (index < record.from) break;
          this.entries.delete(index);
          this.sequences.delete(index);
        }
        break;
      case 'vote':
        if (earlier) break;
        this.term = record.term;
        this.votedFor = record.votedFor;
        break;
      default:
        throw new LogStorageError(
          `journal record ${sequence} has an unknown type`,
        );
    }
  }

  /**
   * Returns the restored log, or null when nothing was stored.
   *
   * @throws LogStorageError when entries are missing.
   */
  content(): StoredLogContent<C> | null {
    const snapshot = this.file?.snapshot ?? null;
    const entries = [...this.entries.values()];
    let expected = (snapshot?.index ?? 0) + 1;
    for (const {index} of entries) {
      if (index !== expected) {
        throw new LogStorageError(`log entry ${expected} is missing`);
      }
      expected++;
    }
    const {term, votedFor} = this;
    const empty = snapshot === null && entries.length === 0 && term === 0;
    return empty ? null : {term, votedFor, snapshot, entries};
  }

  /** Returns the journal sequence of each entry by index, in order of index. */
  getSequences(): Map<number, number> {
    return this.sequences;
  }
}
