/** Messages between the members of a replicated log. */
import type {LogEntry, LogSnapshot} from './log_entries.js';

interface AddressedMessage {
  /** Incarnation of the addressee; empty in `join`, for any incarnation. */
  readonly to: string;
  readonly term: number;
}

/** Raft's AppendEntries request; without entries a heartbeat. */
export interface AppendMessage<C> extends AddressedMessage {
  readonly type: 'append';
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly LogEntry<C>[];
  readonly commit: number;
  /** Whether the leader's lease follows `AppendReply.promisedMs`. */
  readonly readsPromise?: true;
  /** Echoed by the reply; shows the leader which reads a reply confirms. */
  readonly round: number;
}

/** Raft's InstallSnapshot: replaces the log up to the snapshot's index. */
export interface InstallSnapshotMessage extends AddressedMessage {
  readonly type: 'install';
  readonly snapshot: LogSnapshot;
  readonly round: number;
}

/** Reply to `append` and `install`; sent again when entries become synced. */
export interface AppendReply extends AddressedMessage {
  readonly type: 'append-reply';
  readonly ok: boolean;
  /** Index up to which the logs match; if not `ok`, a hint where they may. */
  readonly match: number;
  /** Highest matching index synced to the member's disk; 0 without a disk. */
  readonly synced: number;
  readonly disk: boolean;
  readonly round: number;
  /**
   * Time from the receipt of the round for which the member votes for no other
   * leader; the election timeout if absent.
   */
  readonly promisedMs?: number;
}

/** Requests a vote or, with `pre`, a pre-vote. */
export interface VoteRequest extends AddressedMessage {
  readonly type: 'vote';
  readonly pre: boolean;
  /** Whether a leadership transfer caused this election. */
  readonly transfer: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Reply to a request for a vote or pre-vote. */
export interface VoteReply extends AddressedMessage {
  readonly type: 'vote-reply';
  readonly pre: boolean;
  readonly granted: boolean;
  /**
   * Remaining time for which the member had promised an earlier leader not to
   * vote for another; the election timeout if absent.
   */
  readonly promisedMs?: number;
}

/** Lets the target of a leadership transfer start an election at once. */
export interface TimeoutNowMessage extends AddressedMessage {
  readonly type: 'timeout-now';
  /** `LeadershipChange.earlierLeaseMs` of the sender; 0 if absent. */
  readonly earlierLeaseMs?: number;
}

/** Asks the leader to replicate to the sender as a learner. */
export interface JoinMessage extends AddressedMessage {
  readonly type: 'join';
}

/** Any message of the log; the transport adds the sender's id. */
export type LogMessage<C = unknown> =
  | AppendMessage<C>
  | InstallSnapshotMessage
  | AppendReply
  | VoteRequest
  | VoteReply
  | TimeoutNowMessage
  | JoinMessage;
