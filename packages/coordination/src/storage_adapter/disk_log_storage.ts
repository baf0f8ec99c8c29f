/** Stores a replicated log on disk. */
import {
  type FileSystem,
  Journal,
  type JournalWrite,
  SnapshotStore,
  type TornTail,
} from '@mustardferry/storage';
import {pack, unpack} from 'msgpackr';

import {LogStorageError, SnapshotFormatError} from '../errors.js';
import {
  type LogRecord,
  LogRecovery,
  type SnapshotFile,
} from './log_recovery.js';
import type {
  StoredEntry,
  StoredLogContent,
  StoredSnapshot,
} from './stored_log.js';

/** Options of a log on a disk. */
export interface DiskLogStorageOptions {
  readonly files: FileSystem;
  /** Folder inside the data folder, used by this log only. */
  readonly folder: string;
  /** Size of a segment file of the journal. Default 16 MiB. */
  readonly segmentBytes?: number;
  /** Called after each journal write. */
  readonly onWritten?: (write: JournalWrite) => void;
}

async function readSnapshot(
  snapshots: SnapshotStore,
): Promise<SnapshotFile | undefined> {
  const loaded = await snapshots.load();
  if (loaded === undefined) return undefined;
  const file = unpack(loaded.bytes) as SnapshotFile;
  if (file.format === 1) return file;
  throw new SnapshotFormatError(`log snapshot format ${file.format}`);
}

/**
 * Stores each change as a journal record, so that one sync covers all waiting
 * changes. A snapshot file contains the sequence of the first journal record
 * that follows it, so that renaming the file switches to the snapshot
 * atomically.
 */
export class DiskLogStorage<C> {
  private term: number;
  private votedFor: string | null;
  /** Set while operations wait for a snapshot that replaces the entries. */
  private snapshotBarrier: Promise<void> | undefined;
  /** Settles after all snapshot files requested so far were saved or failed. */
  private lastSnapshotSave: Promise<void> = Promise.resolve();
  private failure: unknown;

  private constructor(
    private readonly journal: Journal,
    private readonly snapshots: SnapshotStore,
    private recovered: StoredLogContent<C> | null,
    /** Journal sequence by index of each entry after the snapshot. */
    private readonly sequences: Map<number, number>,
  ) {
    this.term = recovered?.term ?? 0;
    this.votedFor = recovered?.votedFor ?? null;
  }

  /** @throws LogStorageError with the storage layer's error as its cause. */
  static async open<C>(
    options: DiskLogStorageOptions,
  ): Promise<DiskLogStorage<C>> {
    const {files, folder, segmentBytes, onWritten} = options;
    try {
      await files.makeFolder(folder);
      const snapshots = await SnapshotStore.open({
        files,
        folder: `${folder}/snapshots`,
      });
      const recovery = new LogRecovery<C>(await readSnapshot(snapshots));
      const journal = await Journal.open({
        files,
        folder: `${folder}/journal`,
        onRecord: record => recovery.add(record),
        ...(segmentBytes === undefined ? {} : {segmentBytes}),
        ...(onWritten === undefined ? {} : {onWritten}),
      });
      const content = recovery.content();
      const sequences = recovery.getSequences();
      return new DiskLogStorage<C>(journal, snapshots, content, sequences);
    } catch (err) {
      throw new LogStorageError(`can't open the log in ${folder}`, {
        cause: err,
      });
    }
  }

  /** The incomplete end of the journal that was cut off when it was opened. */
  get tornTail(): TornTail | undefined {
    return this.journal.tornTail;
  }

  /** Whether `open` found stored content; false after `load`. */
  get hasContent(): boolean {
    return this.recovered !== null;
  }

  /** Returns the content found by `open`. Call it once, before any change. */
  async load(): Promise<StoredLogContent<C> | null> {
    const content = this.recovered;
    this.recovered = null;
    return content;
  }

  append(entries: readonly StoredEntry<C>[]): Promise<void> {
    return this.writeRecord({type: 'append', entries}, sequence => {
      for (const entry of entries) this.sequences.set(entry.index, sequence);
    });
  }

  truncateFrom(index: number): Promise<void> {
    return this.writeRecord({type: 'truncate', from: index}, () => {
      for (const known of [...this.sequences.keys()].reverse()) {
        if (known < index) break;
        this.sequences.delete(known);
      }
    });
  }

  saveVote(term: number, votedFor: string | null): Promise<void> {
    return this.writeRecord({type: 'vote', term, votedFor}, () => {
      this.term = term;
      this.votedFor = votedFor;
    });
  }

  /**
   * Replaces the snapshot. With `keepSuffix`, the entries stay valid even if
   * the snapshot is lost, so later operations don't wait for it. Otherwise they
   * do.
   */
  saveSnapshot(snapshot: StoredSnapshot, keepSuffix: boolean): Promise<void> {
    if (keepSuffix) {
      return this.runInOrder(() => this.replaceSnapshot(snapshot, true));
    }
    // Later entries don't match the old snapshot, so no operation may run
    // before the new one is durable, and none at all if saving it fails.
    const saved = this.runInOrder(() =>
      this.replaceSnapshot(snapshot, false).catch((err: unknown) => {
        this.failure ??= err;
        throw err;
      }),
    );
    const barrier: Promise<void> = saved.then(
      () => this.removeBarrier(barrier),
      () => this.removeBarrier(barrier),
    );
    this.snapshotBarrier = barrier;
    return saved;
  }

  async close(): Promise<void> {
    await this.snapshotBarrier;
    await this.lastSnapshotSave;
    await this.journal.close();
  }

  private removeBarrier(barrier: Promise<void>): void {
    if (this.snapshotBarrier === barrier) this.snapshotBarrier = undefined;
  }

  /** Runs an operation now or, with a barrier, after those that wait for it. */
  private runInOrder(run: () => Promise<void>): Promise<void> {
    if (this.snapshotBarrier === undefined) return this.runUnlessFailed(run);
    const {promise, resolve, reject} = createDeferred();
    const barrier: Promise<void> = this.snapshotBarrier.then(() => {
      this.runUnlessFailed(run).then(resolve, reject);
      this.removeBarrier(barrier);
    });
    this.snapshotBarrier = barrier;
    return promise;
  }

  /** Runs an operation unless an earlier failure stopped the log. */
  private async runUnlessFailed(run: () => Promise<void>): Promise<void> {
    try {
      if (this.failure !== undefined) throw this.failure;
      await run();
    } catch (err) {
      if (err instanceof LogStorageError) throw err;
      throw new LogStorageError("can't store the log", {cause: err});
    }
  }

  private writeRecord(
    record: LogRecord<C>,
    onSequence: (sequence: number) => void,
  ): Promise<void> {
    return this.runInOrder(() => {
      onSequence(this.journal.nextIndex);
      return this.journal.append([pack(record)]);
    });
  }

  private async replaceSnapshot(
    snapshot: StoredSnapshot,
    keepSuffix: boolean,
  ): Promise<void> {
    const {journal, term, votedFor} = this;
    const position = journal.nextIndex;
    const firstKeptSequence = this.dropSequences(snapshot.index, keepSuffix);
    const file = {format: 1, snapshot, term, votedFor, position, keepSuffix};
    // An empty append resolves once all earlier records are synced.
    const earlier = journal.append([]);
    const saved = this.lastSnapshotSave.then(async () => {
      await earlier;
      await this.snapshots.save(pack(file));
    });
    this.lastSnapshotSave = saved.catch(() => undefined);
    await saved;
    // After a failure here, the journal refuses and reports later operations.
    await journal
      .truncateBefore(firstKeptSequence ?? position)
      .catch(() => undefined);
  }

  /** Drops sequences of removed entries; returns the oldest one kept. */
  private dropSequences(
    index: number,
    keepSuffix: boolean,
  ): number | undefined {
    for (const known of this.sequences.keys()) {
      if (keepSuffix && known > index) break;
      this.sequences.delete(known);
    }
    return this.sequences.values().next().value;
  }
}

interface Deferred {
  readonly promise: Promise<void>;
  readonly resolve: () => void;
  readonly reject: (err: unknown) => void;
}

function createDeferred(): Deferred {
  let resolve: () => void = () => undefined;
  let reject: (err: unknown) => void = () => undefined;
  const promise = new Promise<void>((onDone, onError) => {
    resolve = onDone;
    reject = onError;
  });
  return {promise, resolve, reject};
}
