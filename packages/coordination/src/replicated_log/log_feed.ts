/** What non-voters pull from a member or from another non-voter. */
import type {LogEntry} from './log_entries.js';

/** Committed entries or a snapshot, with the age of the confirmation. */
export type FetchedLog<C> = {
  /** Age in milliseconds of the leader's last confirmation; may be Infinity. */
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

/** Source that a follower or another instance pulls from. */
export interface LogFeed<C> {
  /**
   * Returns committed entries after an index, or a snapshot when they are no
   * longer kept.
   */
  fetch(afterIndex: number, maxEntries: number): FetchedLog<C>;
}
