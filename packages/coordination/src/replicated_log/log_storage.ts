/** Interface for the persistent storage of a replicated log. */
import type {LogEntry, LogSnapshot} from './log_entries.js';

/** Synced content of the storage when the member last stopped. */
export interface StoredLog<C> {
  readonly term: number;
  readonly votedFor: string | null;
  readonly snapshot: LogSnapshot | null;
  /** Entries after the snapshot, without gaps. */
  readonly entries: readonly LogEntry<C>[];
}

/**
 * Storage of one replicated log. Operations take effect in call order. Each
 * promise resolves when its operation and all earlier ones are synced, and
 * rejects if they cannot be. The log does not wait for an operation before it
 * calls the next one, so that an implementation can sync several at once.
 */
export abstract class LogStorage<C> {
  /** Reads the synced content; null if nothing was ever stored. */
  abstract load(): Promise<StoredLog<C> | null>;

  /** Appends entries that follow the last stored one. */
  abstract append(entries: readonly LogEntry<C>[]): Promise<void>;

  /** Removes the entry at an index and all later ones. */
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
