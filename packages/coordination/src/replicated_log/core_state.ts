/** State of the log's core, and queries on it. */
import type {LogEntry, LogSnapshot} from './log_entries.js';
import {getMemberKey, isSameMember, type MemberId} from './members.js';
import {deriveVoterConfig} from './voter_config.js';

export interface LogCoreConfig {
  /** Whether votes and entries are synced before they are acknowledged. */
  readonly syncEverything: boolean;
  readonly hasDisk: boolean;
  readonly heartbeatMs: number;
  /** Minimum of the randomized election timeout; the maximum is twice that. */
  readonly electionTimeoutMs: number;
  /**
   * Least election timeout while the messages of a leader arrive evenly;
   * `electionTimeoutMs` by default.
   */
  readonly calmElectionTimeoutMs?: number;
  readonly maxEntriesPerMessage: number;
  /**
   * Approximate size of the entries in a message; a larger entry is sent alone.
   * Unlimited by default.
   */
  readonly maxBytesPerMessage?: number;
  /** Silence after which a voter may be replaced; never by default. */
  readonly replaceSilentAfterMs?: number;
  /** Number of voters up to which members are added; none by default. */
  readonly targetVoters?: number;
}

/** Replication state of another member, as known to the leader. */
export interface Progress {
  readonly member: MemberId;
  /** Index up to which the logs match, and the next index to send. */
  readonly match: number;
  readonly next: number;
  readonly synced: number;
  readonly disk: boolean;
  readonly ackedRound: number;
  /** When the newest round that the member answered was sent. */
  readonly ackedAt: number;
  /** Until when the member has promised not to vote for another leader. */
  readonly promisedUntil: number;
  /** When this leader started to replicate to the member. */
  readonly addedAt: number;
  /** When a snapshot was last sent; keeps heartbeats from resending it. */
  readonly snapshotSentAt: number;
}

/**
 * Voter sets in effect. While a voter change is uncommitted this is a joint
 * configuration, as in Raft, with the old set as `outgoingVoters`.
 */
export interface VoterConfig {
  readonly voters: readonly MemberId[];
  readonly outgoingVoters: readonly MemberId[] | null;
  /**
   * Voters before the last change, until its closing entry is committed. From
   * then on every majority of the new voters includes one that knows that the
   * change is committed, so the group survives the loss of its leader.
   */
  readonly votersBeforeChange: readonly MemberId[] | null;
  readonly changeIndex: number;
  /** Index of the closing entry of the last voter change; 0 without one. */
  readonly closingIndex: number;
  /** Keys of the members that committed voter changes removed. */
  readonly removedKeys: readonly string[];
}

/** Linearizable read that waits for a quorum to confirm the leader. */
export interface PendingRead {
  readonly id: number;
  readonly round: number;
}

/** Request of a member without a vote to receive the log. */
export interface JoinRequest {
  readonly member: MemberId;
  readonly at: number;
}

/** Role in the current term; a learner is a follower without a vote. */
export type LogRole = 'follower' | 'pre-candidate' | 'candidate' | 'leader';

/** Immutable state of one member. Times use the clock of `LogEvent.now`. */
export interface LogCoreState<C> {
  readonly self: MemberId;
  readonly role: LogRole;
  readonly term: number;
  readonly votedFor: string | null;
  readonly leader: MemberId | null;
  readonly snapshot: LogSnapshot;
  /** Entries after the snapshot, without gaps. */
  readonly entries: readonly LogEntry<C>[];
  readonly config: VoterConfig;
  readonly commitIndex: number;
  readonly syncedIndex: number;
  /** Index up to which the log is known to equal that of the term's leader. */
  readonly matchedIndex: number;
  readonly diskFailed: boolean;
  readonly electionDeadline: number;
  readonly heartbeatDeadline: number;
  /** When the last message from a leader was received. */
  readonly lastLeaderContactAt: number;
  /** Longest gap between messages of the leader, decaying with time. */
  readonly contactGapMs: number;
  /** Until when this member has promised a leader not to vote for another. */
  readonly promisedUntil: number;
  /** Whether all connections to the leader were lost since its last message. */
  readonly leaderLost: boolean;
  /** Until when, as far as this candidate's voters know, a leader may act. */
  readonly earlierLeaseUntil: number;
  readonly leaderSince: number;
  /** Set by a transfer; a late `timeout-now` of the term bypasses the lease. */
  readonly leaseRevoked: boolean;
  /** Highest round received from the term's leader; echoed in replies. */
  readonly lastLeaderRound: number;
  readonly votes: readonly string[];
  readonly progress: Readonly<Record<string, Progress>>;
  readonly round: number;
  readonly roundTimes: readonly {readonly round: number; readonly at: number}[];
  readonly pendingReads: readonly PendingRead[];
  /** Requests to join in a row that no leader has answered, as a learner. */
  readonly joinAttempts: number;
  /** Latest requests to join that this leader could not grant yet, by key. */
  readonly joinRequests: Readonly<Record<string, JoinRequest>>;
  /** Latest registered incarnation by member name. */
  readonly registeredIncarnations: Readonly<Record<string, string>>;
  readonly transfer: {
    readonly to: MemberId;
    readonly deadline: number;
  } | null;
}

/** Initial voters of a starting member, and what its storage holds. */
export interface InitialStateOptions<C> {
  readonly self: MemberId;
  readonly voters: readonly MemberId[];
  readonly term: number;
  readonly votedFor: string | null;
  readonly snapshot: LogSnapshot | null;
  readonly entries: readonly LogEntry<C>[];
  readonly now: number;
  readonly random: number;
}

/** Creates the state of a starting member. */
export function createInitialState<C>(
  start: InitialStateOptions<C>,
  cfg: LogCoreConfig,
): LogCoreState<C> {
  const snapshot = start.snapshot ?? {
    index: 0,
    term: 0,
    voters: start.voters,
    data: new Uint8Array(),
  };
  const last = start.entries.at(-1)?.index ?? snapshot.index;
  const state: LogCoreState<C> = {
    ...EMPTY_STATE,
    self: start.self,
    term: Math.max(start.term, start.entries.at(-1)?.term ?? snapshot.term),
    votedFor: start.votedFor,
    snapshot,
    entries: start.entries,
    config: {
      voters: snapshot.voters,
      outgoingVoters: null,
      votersBeforeChange: null,
      changeIndex: 0,
      closingIndex: 0,
      removedKeys: [],
    },
    commitIndex: snapshot.index,
    syncedIndex: cfg.hasDisk ? last : snapshot.index,
    matchedIndex: snapshot.index,
    electionDeadline: drawElectionDeadline(start, cfg),
    // What this member promised before it restarted is not known.
    promisedUntil: start.now + cfg.electionTimeoutMs,
  };
  const recovered = {...state, config: deriveVoterConfig(state)};
  // Lets a learner ask to join at its first tick.
  return isVoter(recovered)
    ? recovered
    : {...recovered, electionDeadline: start.now};
}

const EMPTY_STATE = {
  role: 'follower',
  leader: null,
  diskFailed: false,
  heartbeatDeadline: 0,
  lastLeaderContactAt: Number.NEGATIVE_INFINITY,
  contactGapMs: 0,
  leaderLost: true,
  earlierLeaseUntil: Number.NEGATIVE_INFINITY,
  leaderSince: 0,
  leaseRevoked: false,
  lastLeaderRound: 0,
  votes: [],
  progress: {},
  round: 0,
  roundTimes: [],
  pendingReads: [],
  joinAttempts: 0,
  joinRequests: {},
  registeredIncarnations: {},
  transfer: null,
} as const;

/** Randomizes the deadline, so that members rarely campaign simultaneously. */
export function drawElectionDeadline(
  event: {readonly now: number; readonly random: number},
  cfg: Pick<LogCoreConfig, 'electionTimeoutMs'>,
): number {
  return event.now + cfg.electionTimeoutMs * (1 + event.random);
}

/** Index of the last entry, or of the snapshot if no entry follows it. */
export function lastIndex<C>(state: LogCoreState<C>): number {
  return state.snapshot.index + state.entries.length;
}

/** Returns the entry at an index after the snapshot, if there is one. */
export function getEntryAt<C>(
  state: LogCoreState<C>,
  index: number,
): LogEntry<C> | undefined {
  return state.entries[index - state.snapshot.index - 1];
}

/** Returns the term of the entry at an index, or -1 if it is not known. */
export function getTermAt<C>(state: LogCoreState<C>, index: number): number {
  if (index === state.snapshot.index) return state.snapshot.term;
  return getEntryAt(state, index)?.term ?? -1;
}

/** Whether this member is in the newest voter set of its log. */
export function isVoter<C>(state: LogCoreState<C>): boolean {
  return state.config.voters.some(voter => isSameMember(voter, state.self));
}

/**
 * Whether the accepted members are a majority of each voter set in effect.
 * Majorities of the old and the new set need not overlap, because two
 * incarnations of a member count as different voters.
 */
export function hasQuorum(
  config: VoterConfig,
  accepts: (member: MemberId) => boolean,
): boolean {
  const sets = config.outgoingVoters
    ? [config.voters, config.outgoingVoters]
    : [config.voters];
  return sets.every(
    voters => voters.filter(accepts).length * 2 > voters.length,
  );
}

/** Returns the voters of all voter sets in effect, without this member. */
export function getOtherVoters<C>(state: LogCoreState<C>): readonly MemberId[] {
  const all = [...state.config.voters, ...(state.config.outgoingVoters ?? [])];
  const byKey = new Map(all.map(member => [getMemberKey(member), member]));
  byKey.delete(getMemberKey(state.self));
  return [...byKey.values()];
}

/**
 * Whether an entry of the current term is committed here, and with it all that
 * was committed earlier. A restarted member must not serve its state before.
 */
export function hasRecovered<C>(state: LogCoreState<C>): boolean {
  return state.term > 0 && getTermAt(state, state.commitIndex) === state.term;
}

/** Whether this member leads and has committed an entry of its term. */
export function committedInTerm<C>(state: LogCoreState<C>): boolean {
  return (
    state.role === 'leader' &&
    getTermAt(state, state.commitIndex) === state.term
  );
}
