/** Entries and snapshots of a replicated log. */
import type {MemberId} from './members.js';

/** Replacement of a voter by another member, or addition of a voter. */
export interface VoterChange {
  /** Null if a voter is added without replacing another. */
  readonly remove: MemberId | null;
  readonly add: MemberId;
}

/** Batch of commands; empty in a leader's first entry and in voter changes. */
export interface LogEntry<C> {
  readonly index: number;
  readonly term: number;
  readonly commands: readonly C[];
  /**
   * Approximate size of the commands in memory; absent without commands and in
   * entries of earlier versions.
   */
  readonly bytes?: number;
  /** Whether a command must be synced to a disk before it is acknowledged. */
  readonly durable: boolean;
  /** Present only in entries that change the voter set. */
  readonly replacement?: VoterChange;
  /**
   * Index of a committed voter change that this entry closes, like the entry
   * for the new configuration in Raft's joint consensus. A member with this
   * entry knows that the change is committed, whatever its own commit index is.
   */
  readonly closes?: number;
}

/** State of the state machine, and the voters, as of the entry at `index`. */
export interface LogSnapshot {
  readonly index: number;
  readonly term: number;
  readonly voters: readonly MemberId[];
  readonly data: Uint8Array;
}
