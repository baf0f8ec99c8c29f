/** Options, status and leadership events of a replicated log. */
import type {LogCoreConfig} from './core_state.js';
import type {LogStorage} from './log_storage.js';
import type {LogTransport} from './log_transport.js';
import type {MemberId} from './members.js';
import type {StateMachine} from './state_machine.js';

/** Options of a replicated log. Durations are in milliseconds. */
export interface ReplicatedLogOptions<C, R> {
  readonly self: MemberId;
  /** Voters before the first entry; a stored snapshot overrides them. */
  readonly voters: readonly MemberId[];
  /**
   * `sync-everything`: votes and entries are synced before they are
   * acknowledged, and the incarnation survives restarts. `in-memory`: only
   * durable entries wait until a disk has synced them, and each start needs a
   * new incarnation.
   */
  readonly mode: 'sync-everything' | 'in-memory';
  /** Null for a member without a disk; only `in-memory` allows that. */
  readonly storage: LogStorage<C> | null;
  readonly transport: LogTransport<C>;
  readonly machine: StateMachine<C, R>;
  /** Interval of heartbeats; 100 by default. */
  readonly heartbeatMs?: number;
  /** Minimum election timeout, the maximum is twice that; 400 by default. */
  readonly electionTimeoutMs?: number;
  /**
   * Minimum election timeout while the messages of a leader arrive evenly;
   * `electionTimeoutMs` by default.
   */
  readonly calmElectionTimeoutMs?: number;
  /** Maximum number of entries in a message; 64 by default. */
  readonly maxEntriesPerMessage?: number;
  /** Maximum number of commands in an entry; 1,000 by default. */
  readonly maxBatch?: number;
  /**
   * Approximate size in bytes of the entries in a message, and of the commands
   * in an entry; a larger command travels alone. 1 MiB by default.
   */
  readonly maxBytesPerMessage?: number;
  /** Number of entries between snapshots; 1,000 by default. */
  readonly snapshotEveryEntries?: number;
  /**
   * Approximate size in bytes of the entries between snapshots; 4 MiB by
   * default. While a snapshot is larger than this, its size applies, so that
   * the cost of snapshots stays proportional to that of the entries.
   */
  readonly snapshotEveryBytes?: number;
  /**
   * Time without replies after which a registered member of another name may
   * replace a voter; never by default.
   */
  readonly replaceSilentAfterMs?: number;
  /**
   * Number of voters up to which registered members are added; by default the
   * number of voters does not change.
   */
  readonly targetVoters?: number;
  /** Member that takes over leadership when it can; none by default. */
  readonly preferredLeader?: string;
  /** Returns a random number in [0, 1); `Math.random` by default. */
  readonly random?: () => number;
  /** Called for each election that this member starts as a follower. */
  readonly onElection?: (election: Election) => void;
  /** Called when storage or the state machine fails. */
  readonly onFailure?: (err: Error) => void;
}

/** Options with the defaults filled in. */
export interface LogSettings extends LogCoreConfig {
  readonly maxBatch: number;
  readonly maxBytesPerMessage: number;
  readonly snapshotEveryEntries: number;
  readonly snapshotEveryBytes: number;
}

/** Fills in the defaults. */
export function resolveLogSettings<C, R>(
  options: ReplicatedLogOptions<C, R>,
): LogSettings {
  return {
    syncEverything: options.mode === 'sync-everything',
    hasDisk: options.storage !== null,
    heartbeatMs: options.heartbeatMs ?? 100,
    electionTimeoutMs: options.electionTimeoutMs ?? 400,
    maxEntriesPerMessage: options.maxEntriesPerMessage ?? 64,
    maxBytesPerMessage: options.maxBytesPerMessage ?? 1024 * 1024,
    maxBatch: options.maxBatch ?? 1000,
    snapshotEveryEntries: options.snapshotEveryEntries ?? 1000,
    snapshotEveryBytes: options.snapshotEveryBytes ?? 4 * 1024 * 1024,
    ...(options.calmElectionTimeoutMs === undefined
      ? {}
      : {calmElectionTimeoutMs: options.calmElectionTimeoutMs}),
    ...(options.replaceSilentAfterMs === undefined
      ? {}
      : {replaceSilentAfterMs: options.replaceSilentAfterMs}),
    ...(options.targetVoters === undefined
      ? {}
      : {targetVoters: options.targetVoters}),
  };
}

/** Status of one member of the log. */
export interface LogStatus {
  readonly role: 'leader' | 'candidate' | 'follower' | 'learner';
  readonly term: number;
  readonly leader: MemberId | null;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  /**
   * Whether this member has applied an entry of its current term since its
   * start, and with it all entries committed earlier. Until then its state may
   * be older than the one that it served before a restart.
   */
  readonly recovered: boolean;
  readonly lastIndex: number;
  /**
   * Voters as of the last completed voter change. The loss of any minority of
   * them does not stop the group.
   */
  readonly voters: readonly MemberId[];
  /**
   * Milliseconds since a leader was last confirmed: on the leader, since the
   * last round that a quorum answered; elsewhere, since the last message from
   * the leader. Infinity if there was none.
   */
  readonly confirmedMsAgo: number;
  /** Remaining time of the leader lease; 0 without one. */
  readonly leaseMs: number;
}

/** Why an election was started. */
export type ElectionCause =
  /** No message from a leader arrived within the election timeout. */
  | 'leader-silent'
  /** All connections to the leader were lost. */
  | 'leader-lost'
  /** The leader transferred leadership to this member. */
  | 'transfer';

/** Election that a follower has started. */
export interface Election {
  /** Term for which the member is a candidate. */
  readonly term: number;
  readonly cause: ElectionCause;
}

/** Why this member gained or lost leadership. */
export type LeadershipCause =
  | ElectionCause
  /** No quorum answered in time, so the leader stepped down. */
  | 'no-quorum'
  /** Another member has started a higher term. */
  | 'higher-term'
  /** The storage or the state machine failed. */
  | 'log-failed'
  | 'closed';

/** Gain or loss of this member's leadership. */
export interface LeadershipChange {
  readonly leader: boolean;
  readonly term: number;
  readonly cause: LeadershipCause;
  /**
   * Time in ms for which an earlier leader may still hold its lease: voters
   * that lost their connections to it, or restarted, don't wait for its end.
   */
  readonly earlierLeaseMs: number;
}

/** Called when this member gains or loses leadership. */
export type LeadershipListener = (change: LeadershipChange) => void;
