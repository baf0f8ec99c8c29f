/** Interface through which non-voters pull the committed log. */
import type {LogEntry} from './log_entries.js';

/** Committed entries or a snapshot, with their age. */
export type FetchedLog<C> = {
  /** Milliseconds since a leader was last confirmed; Infinity if never. */
  readonly confirmedMsAgo: number;
  readonly commitIndex: number;
} & (
  | {readonly kind: 'entries'; readonly entries: readonly LogEntry<C>[]}
  | {
      readonly kind: 'snapshot';
      readonly index: number;
      readonly data: Uint8Array;
    }
);

/** Source of committed entries for a `LogFollower`. */
export interface LogFeed<C> {
  /**
   * Returns committed entries after an index, or a snapshot if they are no
   * longer kept.
   */
  fetch(afterIndex: number, maxEntries: number): FetchedLog<C>;
}
