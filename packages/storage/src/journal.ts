/** Append-only journal of checksummed records with group commit. */
import {setImmediate} from 'node:timers';

import type {JournalRecord, TornTail} from './journal_segments.js';
import {
  type JournalOptions,
  type RecordBatch,
  SegmentWriter,
} from './segment_writer.js';
import {
  JournalClosedError,
  JournalFailedError,
  toStorageError,
} from './storage_errors.js';

/** Numbers of a journal since it was opened. */
export interface JournalStats {
  readonly appends: number;
  readonly syncs: number;
}

interface Waiting extends RecordBatch {
  readonly resolve: () => void;
  readonly reject: (err: unknown) => void;
}

type Queued =
  | ({readonly type: 'records'} & Waiting)
  | {readonly type: 'task'; readonly run: () => Promise<void>};

/** Bounds the memory and the time of one write. */
const MAX_BATCH_BYTES = 8 * 1_024 * 1_024;

/**
 * Records have sequence numbers from 1 that survive `truncateBefore`. All
 * appends that wait are written together and synced once.
 */
export class Journal {
  private readonly queue: Queued[] = [];
  private running = false;
  private closed = false;
  private failure: unknown;
  private next: number;
  private appends = 0;

  private constructor(
    private readonly folder: string,
    private readonly writer: SegmentWriter,
    /** What was cut off when the journal was opened. */
    readonly tornTail: TornTail | undefined,
  ) {
    this.next = writer.nextIndex;
  }

  /**
   * Reads and checks everything, and cuts off a torn tail.
   *
   * @throws JournalCorruptError naming file and offset when synced records
   *     are damaged; StorageFullError, StorageReadOnlyError or StorageIoError
   *     when the folder can't be prepared.
   */
  static async open(options: JournalOptions): Promise<Journal> {
    const {folder} = options;
    try {
      const {writer, torn} = await SegmentWriter.open(options);
      return new Journal(folder, writer, torn);
    } catch (err) {
      throw toStorageError(err, `can't open the journal in ${folder}`);
    }
  }

  /** Sequence of the oldest record kept. */
  get firstIndex(): number {
    return this.writer.firstIndex;
  }

  /** Sequence that the next record gets. */
  get nextIndex(): number {
    return this.next;
  }

  get stats(): JournalStats {
    return {appends: this.appends, syncs: this.writer.syncs};
  }

  /**
   * Appends records in call order; resolves once they are synced.
   *
   * @throws JournalFailedError after any failed write or sync, because the
   *     state of the file is unknown then; its cause is the first failure.
   */
  append(records: readonly Uint8Array[]): Promise<void> {
    return new Promise((resolve, reject) => {
      if (!this.accepts(reject)) return;
      const first = this.next;
      this.next += records.length;
      this.appends++;
      this.push({type: 'records', records, first, resolve, reject});
    });
  }

  /** Drops whole segments whose records are all before `index`. */
  truncateBefore(index: number): Promise<void> {
    return this.task(() => this.writer.truncateBefore(index));
  }

  /** Drops the records from `index` on; their numbers are used again. */
  truncateFrom(index: number): Promise<void> {
    const from = Math.max(index, this.firstIndex);
    if (this.failure === undefined && !this.closed) {
      this.next = Math.min(this.next, from);
    }
    return this.task(() => this.writer.truncateFrom(from));
  }

  /** Records as stored now, oldest first. */
  readAll(): Promise<readonly JournalRecord[]> {
    return this.read(this.firstIndex, Infinity);
  }

  /** At most `limit` records from a sequence on, oldest first. */
  async read(from: number, limit: number): Promise<readonly JournalRecord[]> {
    let found: readonly JournalRecord[] = [];
    await this.task(async () => {
      found = await this.writer.read(from, limit);
    });
    return found;
  }

  /** Waits for earlier operations and closes the file. */
  async close(): Promise<void> {
    if (this.closed) return;
    const done = this.failure === undefined ? this.task(async () => {}) : null;
    this.closed = true;
    await done?.catch(() => undefined);
    await this.writer.close().catch(() => undefined);
  }

  private accepts(reject: (err: unknown) => void): boolean {
    if (this.failure !== undefined) reject(this.failedError());
    else if (this.closed) reject(new JournalClosedError('journal is closed'));
    return this.failure === undefined && !this.closed;
  }

  private failedError(): JournalFailedError {
    const reason = 'an earlier write or sync failed; reopen the journal';
    return new JournalFailedError(reason, {cause: this.failure});
  }

  private task(run: () => Promise<void>): Promise<void> {
    return new Promise((resolve, reject) => {
      if (!this.accepts(reject)) return;
      this.push({
        type: 'task',
        run: async () => {
          if (this.failure !== undefined) return reject(this.failedError());
          await run().then(resolve, err => reject(this.fail(err)));
        },
      });
    });
  }

  private push(queued: Queued): void {
    this.queue.push(queued);
    if (!this.running) void this.work();
  }

  private async work(): Promise<void> {
    this.running = true;
    for (;;) {
      // Lets callers that were just answered join the next batch.
      await new Promise(resolve => setImmediate(resolve));
      const head = this.queue[0];
      if (head === undefined) break;
      if (head.type === 'task') {
        this.queue.shift();
        await head.run();
      } else {
        await this.commit(this.takeBatch());
      }
    }
    this.running = false;
  }

  private takeBatch(): Waiting[] {
    const batch: Waiting[] = [];
    let bytes = 0;
    while (bytes < MAX_BATCH_BYTES) {
      const head = this.queue[0];
      if (head?.type !== 'records') break;
      this.queue.shift();
      batch.push(head);
      for (const record of head.records) bytes += record.length;
    }
    return batch;
  }

  private async commit(batch: readonly Waiting[]): Promise<void> {
    try {
      if (this.failure !== undefined) throw this.failedError();
      await this.writer.write(batch);
      for (const waiting of batch) waiting.resolve();
    } catch (err) {
      const failure = this.fail(err);
      for (const waiting of batch) waiting.reject(failure);
    }
  }

  private fail(err: unknown): unknown {
    const failure = toStorageError(err, `journal in ${this.folder}`);
    this.failure ??= failure;
    return failure;
  }
}
