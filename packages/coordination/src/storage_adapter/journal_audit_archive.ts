/** Audit archive stored in its own journal. */
import type {AuditEntry, AuditPage} from '@mustardferry/model';
import {type FileSystem, Journal} from '@mustardferry/storage';
import {pack, unpack} from 'msgpackr';

import {AuditArchive} from '../control/audit_archive.js';
import {AuditGapError, LogStorageError} from '../errors.js';

interface ArchivedEntry {
  readonly previousHash: string;
  readonly entry: AuditEntry;
}

/** Small segments keep the time to read one page short. */
const SEGMENT_BYTES = 4 * 1_024 * 1_024;

/** Journal record `n` contains the audit entry with index `n + offset`. */
export class JournalAuditArchive extends AuditArchive {
  private lastEntryIndex: number;

  private constructor(
    private readonly journal: Journal,
    private offset: number,
  ) {
    super();
    this.lastEntryIndex = journal.nextIndex - 1 + offset;
  }

  /** @throws LogStorageError with the storage layer's error as its cause. */
  static async open(
    files: FileSystem,
    folder: string,
  ): Promise<JournalAuditArchive> {
    try {
      const journal = await Journal.open({
        files,
        folder,
        segmentBytes: SEGMENT_BYTES,
        // The archive grows for years, so older segments are checked only when
        // they are read.
        checkOnOpen: 'newest',
      });
      const [first] = await journal.read(journal.firstIndex, 1);
      const entry = first && (unpack(first.payload) as ArchivedEntry).entry;
      const offset = first && entry ? entry.index - first.index : 0;
      return new JournalAuditArchive(journal, offset);
    } catch (err) {
      const message = `can't open the audit archive in ${folder}`;
      throw new LogStorageError(message, {cause: err});
    }
  }

  override get lastIndex(): number {
    return this.lastEntryIndex;
  }

  override async append(
    entries: readonly AuditEntry[],
    previousHash: string,
  ): Promise<void> {
    const added = entries.filter(entry => entry.index > this.lastEntryIndex);
    const [first] = added;
    if (first === undefined) return;
    if (this.lastEntryIndex === 0) {
      this.offset = first.index - this.journal.nextIndex;
    } else if (first.index !== this.lastEntryIndex + 1) {
      throw new AuditGapError(
        `audit entry ${this.lastEntryIndex + 1} is missing`,
      );
    }
    const before = entries[entries.indexOf(first) - 1];
    let hash = before?.hash ?? previousHash;
    const records = added.map(entry => {
      const record = pack({previousHash: hash, entry});
      hash = entry.hash;
      return record;
    });
    const lastIndexBefore = this.lastEntryIndex;
    this.lastEntryIndex = added.at(-1)?.index ?? lastIndexBefore;
    try {
      await this.wrapErrors(this.journal.append(records));
    } catch (err) {
      // The entries are not in the archive, so they are to be appended again.
      this.lastEntryIndex = Math.min(this.lastEntryIndex, lastIndexBefore);
      throw err;
    }
  }

  override async page(after: number, limit: number): Promise<AuditPage> {
    const from = Math.max(after + 1 - this.offset, this.journal.firstIndex);
    const lastIndex = this.lastEntryIndex;
    const records = await this.wrapErrors(this.journal.read(from, limit));
    const found = records.map(each => unpack(each.payload) as ArchivedEntry);
    return {
      entries: found.map(each => each.entry),
      previousHash: found[0]?.previousHash ?? '',
      lastIndex,
    };
  }

  close(): Promise<void> {
    return this.journal.close();
  }

  private async wrapErrors<T>(pending: Promise<T>): Promise<T> {
    try {
      return await pending;
    } catch (err) {
      throw new LogStorageError("can't read or write the audit archive", {
        cause: err,
      });
    }
  }
}
