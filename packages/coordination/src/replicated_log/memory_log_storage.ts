/** Log storage in memory that simulates a disk, for tests and simulations. */
import type {LogEntry, LogSnapshot} from './log_entries.js';
import {LogStorage, type StoredLog} from './log_storage.js';

const EMPTY_LOG = {
  term: 0,
  votedFor: null,
  snapshot: null,
  entries: [],
} as const;

export interface MemoryLogStorageOptions {
  /** Simulated duration of a sync in milliseconds; 0 by default. */
  readonly syncMs?: number;
}

/**
 * Keeps the written and the synced content. `crash` reverts to the synced
 * content, as a power failure does.
 */
export class MemoryLogStorage<C> extends LogStorage<C> {
  private readonly syncMs: number;
  private written: StoredLog<C> = EMPTY_LOG;
  private synced: StoredLog<C> = EMPTY_LOG;
  /** Number of crashes; writes started before the last one are discarded. */
  private life = 0;
  private failure: Error | null = null;

  constructor(options: MemoryLogStorageOptions = {}) {
    super();
    this.syncMs = options.syncMs ?? 0;
  }

  /** Discards all unsynced writes; their promises never resolve. */
  crash(): void {
    this.life++;
    this.written = this.synced;
  }

  /** Makes all later writes fail, or succeed again if null. */
  setFailure(failure: Error | null): void {
    this.failure = failure;
  }

  override load(): Promise<StoredLog<C> | null> {
    const {synced} = this;
    return Promise.resolve(synced === EMPTY_LOG ? null : synced);
  }

  override append(entries: readonly LogEntry<C>[]): Promise<void> {
    const {written} = this;
    return this.write({
      ...written,
      entries: [...written.entries, ...entries],
    });
  }

  override truncateFrom(index: number): Promise<void> {
    const {written} = this;
    const entries = written.entries.filter(entry => entry.index < index);
    return this.write({...written, entries});
  }

  override saveVote(term: number, votedFor: string | null): Promise<void> {
    return this.write({...this.written, term, votedFor});
  }

  override saveSnapshot(
    snapshot: LogSnapshot,
    keepSuffix: boolean,
  ): Promise<void> {
    const {written} = this;
    const entries = keepSuffix
      ? written.entries.filter(entry => entry.index > snapshot.index)
      : [];
    return this.write({...written, snapshot, entries});
  }

  private async write(newContent: StoredLog<C>): Promise<void> {
    if (this.failure) throw this.failure;
    const {life} = this;
    this.written = newContent;
    if (this.syncMs > 0) {
      await new Promise(resolve => setTimeout(resolve, this.syncMs));
    } else {
      await Promise.resolve();
    }
    if (life !== this.life) return new Promise<never>(() => {});
    this.synced = newContent;
  }
}
