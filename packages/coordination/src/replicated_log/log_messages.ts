/** Messages between the members of a replicated log. */
import type {LogEntry, LogSnapshot} from './log_entries.js';

interface Addressed {
  /** Incarnation of the addressee; empty in `join`, which any life accepts. */
  readonly to: string;
  readonly term: number;
}

/** Replication and, with no entries, the heartbeat. */
export interface AppendMessage<C> extends Addressed {
  readonly type: 'append';
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly LogEntry<C>[];
  readonly commit: number;
  /** Echoed by the reply, so that a read knows which replies follow it. */
  readonly round: number;
}

/** Replaces the addressee's log up to the snapshot's index. */
export interface InstallSnapshotMessage extends Addressed {
  readonly type: 'install';
  readonly snapshot: LogSnapshot;
  readonly round: number;
}

/** Reply to `append` and `install`, repeated when entries become synced. */
export interface AppendReply extends Addressed {
  readonly type: 'append-reply';
  readonly ok: boolean;
  /** Highest index known to equal the leader's log, or a hint when not ok. */
  readonly match: number;
  /** Highest matching index on the member's disk; 0 without one. */
  readonly synced: number;
  readonly disk: boolean;
  readonly round: number;
}

/** Asks for a vote, or with `pre` whether one would be granted. */
export interface VoteRequest extends Addressed {
  readonly type: 'vote';
  readonly pre: boolean;
  /** Set when the leader itself asked for this election. */
  readonly transfer: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Reply to a vote request. */
export interface VoteReply extends Addressed {
  readonly type: 'vote-reply';
  readonly pre: boolean;
  readonly granted: boolean;
}

/** Tells the addressee to start an election at once. */
export interface TimeoutNowMessage extends Addressed {
  readonly type: 'timeout-now';
}

/** A non-voter asks the leader to replicate to it. */
export interface JoinMessage extends Addressed {
  readonly type: 'join';
}

/** Any message of the log; the sender's id travels beside it. */
export type LogMessage<C = unknown> =
  | AppendMessage<C>
  | InstallSnapshotMessage
  | AppendReply
  | VoteRequest
  | VoteReply
  | TimeoutNowMessage
  | JoinMessage;
