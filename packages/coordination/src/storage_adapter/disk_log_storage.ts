/** Storage of one replicated log on a disk. */
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
  /** Folder of this log alone, inside the data folder. */
  readonly folder: string;
  /** Size of the journal's segment files. Default 16 MiB. */
  readonly segmentBytes?: number;
  /** Called after each write of votes or entries. */
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
 * Changes are journal records, so all that wait are synced together. A
 * snapshot file names the journal position from which records follow it, so
 * that its rename is the atomic change.
 */
export class DiskLogStorage<C> {
  private term: number;
  private votedFor: string | null;
  /** Set while operations wait for a snapshot that replaces the entries. */
  private gate: Promise<void> | undefined;
  private snapshotsDone: Promise<void> = Promise.resolve();
  private failure: unknown;

  private constructor(
    private readonly journal: Journal,
    private readonly snapshots: SnapshotStore,
    private recovered: StoredLogContent<C> | null,
    /** Journal sequence by index of each entry after the snapshot. */
    private readonly positions: Map<number, number>,
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
      const positions = recovery.positions();
      return new DiskLogStorage<C>(journal, snapshots, content, positions);
    } catch (err) {
      throw new LogStorageError(`can't open the log in ${folder}`, {
        cause: err,
      });
    }
  }

  /** What the journal cut off when it was opened. */
  get tornTail(): TornTail | undefined {
    return this.journal.tornTail;
  }

  /** Whether anything was stored at `open`; false after `load`. */
  get hasContent(): boolean {
    return this.recovered !== null;
  }

  /** What was stored at `open`; to be called once, before any change. */
  async load(): Promise<StoredLogContent<C> | null> {
    const content = this.recovered;
    this.recovered = null;
    return content;
  }

  append(entries: readonly StoredEntry<C>[]): Promise<void> {
    return this.write({type: 'append', entries}, sequence => {
      for (const entry of entries) this.positions.set(entry.index, sequence);
    });
  }

  truncateFrom(index: number): Promise<void> {
    return this.write({type: 'truncate', from: index}, () => {
      for (const known of [...this.positions.keys()].reverse()) {
        if (known < index) break;
        this.positions.delete(known);
      }
    });
  }

  saveVote(term: number, votedFor: string | null): Promise<void> {
    return this.write({type: 'vote', term, votedFor}, () => {
      this.term = term;
      this.votedFor = votedFor;
    });
  }

  /**
   * Replaces the snapshot. With `keepSuffix`, operations that follow don't
   * wait for it, because the entries stay valid without it; otherwise they do.
   */
  saveSnapshot(snapshot: StoredSnapshot, keepSuffix: boolean): Promise<void> {
    if (keepSuffix) {
      return this.ordered(() => this.replaceSnapshot(snapshot, true));
    }
    // Entries that follow don't fit the old snapshot, so nothing may follow
    // before the new one is durable, and nothing at all if it can't be.
    const saved = this.ordered(() =>
      this.replaceSnapshot(snapshot, false).catch((err: unknown) => {
        this.failure ??= err;
        throw err;
      }),
    );
    const gate: Promise<void> = saved.then(
      () => this.openGate(gate),
      () => this.openGate(gate),
    );
    this.gate = gate;
    return saved;
  }

  async close(): Promise<void> {
    await this.gate;
    await this.snapshotsDone;
    await this.journal.close();
  }

  private openGate(gate: Promise<void>): void {
    if (this.gate === gate) this.gate = undefined;
  }

  /** Runs now, or after the operations that wait at the gate. */
  private ordered(run: () => Promise<void>): Promise<void> {
    if (this.gate === undefined) return this.guarded(run);
    const {promise, resolve, reject} = deferred();
    const gate: Promise<void> = this.gate.then(() => {
      this.guarded(run).then(resolve, reject);
      this.openGate(gate);
    });
    this.gate = gate;
    return promise;
  }

  private async guarded(run: () => Promise<void>): Promise<void> {
    try {
      if (this.failure !== undefined) throw this.failure;
      await run();
    } catch (err) {
      if (err instanceof LogStorageError) throw err;
      throw new LogStorageError("can't store the log", {cause: err});
    }
  }

  private write(
    record: LogRecord<C>,
    applied: (sequence: number) => void,
  ): Promise<void> {
    return this.ordered(() => {
      applied(this.journal.nextIndex);
      return this.journal.append([pack(record)]);
    });
  }

  private async replaceSnapshot(
    snapshot: StoredSnapshot,
    keepSuffix: boolean,
  ): Promise<void> {
    const {journal, term, votedFor} = this;
    const position = journal.nextIndex;
    const firstKept = this.dropPositions(snapshot.index, keepSuffix);
    const file = {format: 1, snapshot, term, votedFor, position, keepSuffix};
    // Resolves after all earlier records are synced.
    const earlier = journal.append([]);
    const saved = this.snapshotsDone.then(async () => {
      await earlier;
      await this.snapshots.save(pack(file));
    });
    this.snapshotsDone = saved.catch(() => undefined);
    await saved;
    // A failure makes the journal refuse what follows and shows there.
    await journal.truncateBefore(firstKept ?? position).catch(() => undefined);
  }

  /** Forgets positions; returns that of the oldest entry kept. */
  private dropPositions(
    index: number,
    keepSuffix: boolean,
  ): number | undefined {
    for (const known of this.positions.keys()) {
      if (keepSuffix && known > index) break;
      this.positions.delete(known);
    }
    return this.positions.values().next().value;
  }
}

interface Deferred {
  readonly promise: Promise<void>;
  readonly resolve: () => void;
  readonly reject: (err: unknown) => void;
}

function deferred(): Deferred {
  let resolve: () => void = () => undefined;
  let reject: (err: unknown) => void = () => undefined;
  const promise = new Promise<void>((onDone, onError) => {
    resolve = onDone;
    reject = onError;
  });
  return {promise, resolve, reject};
}
