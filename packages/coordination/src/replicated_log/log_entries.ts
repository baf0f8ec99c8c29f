/** Entries and snapshots of a replicated log. */
import type {MemberId} from './members.js';

/** Replacement of a voter by another member, or growth by one voter. */
export interface VoterChange {
  /** Null where the group grows. */
  readonly remove: MemberId | null;
  readonly add: MemberId;
}

/** One entry; carries a batch of commands, none for a leader's first entry. */
export interface LogEntry<C> {
  readonly index: number;
  readonly term: number;
  readonly commands: readonly C[];
  /** Whether a command of the batch waits for a synced copy. */
  readonly durable: boolean;
  /** Present only in entries that change the voter set. */
  readonly replacement?: VoterChange;
  /**
   * Index of a committed replacement that this entry closes. Who holds the
   * entry knows that the replacement is committed, whatever its commit index.
   */
  readonly closes?: number;
}

/** State of the machine after the entry at `index`, and the voters there. */
export interface LogSnapshot {
  readonly index: number;
  readonly term: number;
  readonly voters: readonly MemberId[];
  readonly data: Uint8Array;
}
