/** Options and status of a replicated log. */
import type {LogCoreConfig} from './core_state.js';
import type {LogStorage} from './log_storage.js';
import type {LogTransport} from './log_transport.js';
import type {MemberId} from './members.js';
import type {StateMachine} from './state_machine.js';

/** Options of a replicated log. Durations are in milliseconds. */
export interface ReplicatedLogOptions<C, R> {
  readonly self: MemberId;
  /** Voters at the start of the log; the stored log overrides them. */
  readonly voters: readonly MemberId[];
  /**
   * `sync-everything`: votes and entries are synced before they are
   * acknowledged, and the incarnation survives restarts. `in-memory`: only
   * durable entries wait for a synced copy, and each start needs a new
   * incarnation.
   */
  readonly mode: 'sync-everything' | 'in-memory';
  /** Null for a member without a disk, which `in-memory` allows. */
  readonly storage: LogStorage<C> | null;
  readonly transport: LogTransport<C>;
  readonly machine: StateMachine<C, R>;
  /** Interval of heartbeats; 100 by default. */
  readonly heartbeatMs?: number;
  /** Shortest election timeout, the longest is twice that; 400 by default. */
  readonly electionTimeoutMs?: number;
  /** Entries in one message; 64 by default. */
  readonly maxEntriesPerMessage?: number;
  /** Commands in one entry; 1,000 by default. */
  readonly maxBatch?: number;
  /** Entries between snapshots; 1,000 by default. */
  readonly snapshotEveryEntries?: number;
  /**
   * Silence of a voter after which a registered member of another name may
   * take its place; never by default.
   */
  readonly replaceSilentAfterMs?: number;
  /**
   * Voters up to which registered members of other names are added; by default
   * the voters at the start stay as many.
   */
  readonly targetVoters?: number;
  /** Name of the member that should lead when it can; none by default. */
  readonly preferredLeader?: string;
  /** Random numbers in [0, 1); `Math.random` by default. */
  readonly random?: () => number;
  /** Told of each election that this member begins as a follower. */
  readonly onElection?: (election: Election) => void;
  /** Told when storage or the state machine fails. */
  readonly onFailure?: (err: Error) => void;
}

/** Options with the defaults filled in. */
export interface LogSettings extends LogCoreConfig {
  readonly maxBatch: number;
  readonly snapshotEveryEntries: number;
}

/** Fills in the defaults. */
export function logSettings<C, R>(
  options: ReplicatedLogOptions<C, R>,
): LogSettings {
  return {
    syncEverything: options.mode === 'sync-everything',
    hasDisk: options.storage !== null,
    heartbeatMs: options.heartbeatMs ?? 100,
    electionTimeoutMs: options.electionTimeoutMs ?? 400,
    maxEntriesPerMessage: options.maxEntriesPerMessage ?? 64,
    maxBatch: options.maxBatch ?? 1000,
    snapshotEveryEntries: options.snapshotEveryEntries ?? 1000,
    ...(options.replaceSilentAfterMs === undefined
      ? {}
      : {replaceSilentAfterMs: options.replaceSilentAfterMs}),
    ...(options.targetVoters === undefined
      ? {}
      : {targetVoters: options.targetVoters}),
  };
}

/** What a member knows about the log. */
export interface LogStatus {
  readonly role: 'leader' | 'candidate' | 'follower' | 'learner';
  readonly term: number;
  readonly leader: MemberId | null;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  /**
   * Whether this life has applied an entry of a current term, and with it all
   * entries committed earlier. Until then the state may be older than one that
   * this member showed before its restart.
   */
  readonly recovered: boolean;
  readonly lastIndex: number;
  /**
   * Voters to rely on: a replacement shows once it is complete, so that the
   * loss of any minority of these voters does not stop the group.
   */
  readonly voters: readonly MemberId[];
  /**
   * Age of the last sign that a leader is in charge: on the leader, of the
   * last round that a quorum answered; elsewhere, of the last message from the
   * leader. Infinity when there was none.
   */
  readonly confirmedMsAgo: number;
  /** Remaining leader lease; 0 without one. */
  readonly leaseMs: number;
}

/** Why an election began. */
export type ElectionCause =
  /** No message of a leader within the election timeout. */
  | 'leader-silent'
  /** All connections to the leader broke. */
  | 'leader-lost'
  /** The leader asked this member to take over. */
  | 'transfer';

/** Told when a voter that followed begins an election. */
export interface Election {
  /** Term that the member stands for. */
  readonly term: number;
  readonly cause: ElectionCause;
}

/** Why this member leads, or leads no more. */
export type LeadershipCause =
  | ElectionCause
  /** No majority answered within the election timeout, the lease is over. */
  | 'no-quorum'
  /** Another member has begun a higher term. */
  | 'higher-term'
  /** The storage or the state machine failed. */
  | 'log-failed'
  | 'closed';

/** Told to leadership listeners. */
export interface LeadershipChange {
  readonly leader: boolean;
  readonly term: number;
  readonly cause: LeadershipCause;
}

/** Called with each change of this member's leadership. */
export type LeadershipListener = (change: LeadershipChange) => void;
