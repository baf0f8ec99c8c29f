/** Where a replicated log keeps what it must not forget. */
import type {LogEntry, LogSnapshot} from './log_entries.js';

/** Everything that a member had synced when it stopped. */
export interface StoredLog<C> {
  readonly term: number;
  readonly votedFor: string | null;
  readonly snapshot: LogSnapshot | null;
  /** Entries after the snapshot, without gaps. */
  readonly entries: readonly LogEntry<C>[];
}

/**
 * Storage of one replicated log. Operations take effect in call order; each
 * promise resolves once its operation and all earlier ones are synced, and
 * rejects when they can't be. The log calls an operation without waiting for
 * the previous one, so that an implementation can sync several at once.
 */
export abstract class LogStorage<C> {
  /** Reads what was synced; null when nothing was ever stored. */
  abstract load(): Promise<StoredLog<C> | null>;

  /** Adds entries that follow the last stored one. */
  abstract append(entries: readonly LogEntry<C>[]): Promise<void>;

  /** Removes the entries from an index on. */
  abstract truncateFrom(index: number): Promise<void>;

  /** Replaces the stored term and vote. */
  abstract saveVote(term: number, votedFor: string | null): Promise<void>;

  /**
   * Replaces the snapshot, and in the same atomic change removes the entries
   * up to its index, or all entries unless `keepSuffix` is set.
   */
  abstract saveSnapshot(
    snapshot: LogSnapshot,
    keepSuffix: boolean,
  ): Promise<void>;
}
