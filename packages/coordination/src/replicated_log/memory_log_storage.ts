/** Log storage in memory, for tests and simulations of a disk. */
import type {LogEntry, LogSnapshot} from './log_entries.js';
import {LogStorage, type StoredLog} from './log_storage.js';

const EMPTY_LOG = {
  term: 0,
  votedFor: null,
  snapshot: null,
  entries: [],
} as const;

/** Options of the in-memory storage. */
export interface MemoryLogStorageOptions {
  /** Simulated duration of a sync in milliseconds; 0 by default. */
  readonly syncMs?: number;
}

/**
 * Keeps a written and a synced image. `crash` returns to the synced image, as
 * a disk does after a power failure.
 */
export class MemoryLogStorage<C> extends LogStorage<C> {
  private readonly syncMs: number;
  private written: StoredLog<C> = EMPTY_LOG;
  private synced: StoredLog<C> = EMPTY_LOG;
  private life = 0;
  private failure: Error | null = null;

  constructor(options: MemoryLogStorageOptions = {}) {
    super();
    this.syncMs = options.syncMs ?? 0;
  }

  /** Loses everything that is not synced; its promises never resolve. */
  crash(): void {
    this.life++;
    this.written = this.synced;
  }

  /** Lets all later operations fail, or succeed again with null. */
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

  private async write(image: StoredLog<C>): Promise<void> {
    if (this.failure) throw this.failure;
    const {life} = this;
    this.written = image;
    if (this.syncMs > 0) {
      await new Promise(resolve => setTimeout(resolve, this.syncMs));
    } else {
      await Promise.resolve();
    }
    if (life !== this.life) return new Promise<never>(() => {});
    this.synced = image;
  }
}
