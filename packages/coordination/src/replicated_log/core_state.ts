/** State, events and effects of the log's pure core, and its small queries. */
import type {LogEntry, LogSnapshot, VoterChange} from './log_entries.js';
import {getMemberKey, isSameMember, type MemberId} from './members.js';

/** Options of the core. */
export interface LogCoreConfig {
  /** Sync votes and entries before they are acknowledged. */
  readonly syncEverything: boolean;
  /** Whether this member has a disk. */
  readonly hasDisk: boolean;
  readonly heartbeatMs: number;
  /** Shortest election timeout; the longest is twice as long. */
  readonly electionTimeoutMs: number;
  readonly maxEntriesPerMessage: number;
  /**
   * Silence of a voter after which a registered member of another name may
   * take its place; never by default.
   */
  readonly replaceSilentAfterMs?: number;
  /** Voters up to which registered members are added; none by default. */
  readonly targetVoters?: number;
}

/** What the leader knows about one other member. */
export interface Progress {
  readonly member: MemberId;
  readonly match: number;
  readonly next: number;
  readonly synced: number;
  readonly disk: boolean;
  readonly ackedRound: number;
  /** Send time of the newest round that the member answered. */
  readonly ackedAt: number;
  /** When this leader started to replicate to the member. */
  readonly addedAt: number;
  /** When the last snapshot was sent, to not repeat it at each heartbeat. */
  readonly snapshotSentAt: number;
}

/** Voters in force; `previous` is set while a replacement is uncommitted. */
export interface VoterConfig {
  readonly voters: readonly MemberId[];
  readonly outgoingVoters: readonly MemberId[] | null;
  /**
   * Voters before the last replacement until its closing entry is committed.
   * Only then does every majority of the new voters include one that knows of
   * the commit, so that the group survives the loss of its leader.
   */
  readonly beforeRepair: readonly MemberId[] | null;
  readonly changeIndex: number;
  /** Index of the closing entry of the last replacement; 0 without one. */
  readonly closeIndex: number;
  /** Keys of incarnations that committed replacements removed. */
  readonly removed: readonly string[];
}

/** A linearizable read that waits for a quorum to confirm the leader. */
export interface PendingRead {
  readonly id: number;
  readonly round: number;
}

/** Role in the current term; a learner is a follower outside the voters. */
export type LogRole = 'follower' | 'pre-candidate' | 'candidate' | 'leader';

/** Immutable state of one member. Times are milliseconds of the caller's clock. */
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
  /** Highest index known to equal the log of the current term's leader. */
  readonly matchedIndex: number;
  readonly diskFailed: boolean;
  readonly electionDeadline: number;
  readonly heartbeatDue: number;
  /** Last contact with the leader. */
  readonly heardAt: number;
  readonly leaderSince: number;
  /**
   * Set for the rest of the term by a leadership transfer: a delayed
   * `timeout-now` may start an election that bypasses the lease.
   */
  readonly leaseVoid: boolean;
  /** Round of the last message accepted from the leader, for late replies. */
  readonly heardRound: number;
  readonly votes: readonly string[];
  readonly progress: Readonly<Record<string, Progress>>;
  readonly round: number;
  readonly roundTimes: readonly {readonly round: number; readonly at: number}[];
  readonly reads: readonly PendingRead[];
  /** Latest registered incarnation of each name, as told by the caller. */
  readonly registered: Readonly<Record<string, string>>;
  readonly transfer: {
    readonly to: MemberId;
    readonly deadline: number;
  } | null;
}

/** What a member starts from: its initial voters or its recovered storage. */
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

/** Creates the state of a member that starts. */
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
      beforeRepair: null,
      changeIndex: 0,
      closeIndex: 0,
      removed: [],
    },
    commitIndex: snapshot.index,
    syncedIndex: cfg.hasDisk ? last : snapshot.index,
    matchedIndex: snapshot.index,
    electionDeadline: electionDeadline(start, cfg),
  };
  const recovered = {...state, config: configOf(state)};
  // A learner asks to join at its first tick.
  return isVoter(recovered)
    ? recovered
    : {...recovered, electionDeadline: start.now};
}

const EMPTY_STATE = {
  role: 'follower',
  leader: null,
  diskFailed: false,
  heartbeatDue: 0,
  heardAt: Number.NEGATIVE_INFINITY,
  leaderSince: 0,
  leaseVoid: false,
  heardRound: 0,
  votes: [],
  progress: {},
  round: 0,
  roundTimes: [],
  reads: [],
  registered: {},
  transfer: null,
} as const;

/** Randomized so that members rarely start elections at the same time. */
export function electionDeadline(
  event: {readonly now: number; readonly random: number},
  cfg: LogCoreConfig,
): number {
  return event.now + cfg.electionTimeoutMs * (1 + event.random);
}

/** Index of the last entry. */
export function lastIndex<C>(state: LogCoreState<C>): number {
  return state.snapshot.index + state.entries.length;
}

/** Entry at an index after the snapshot, or undefined. */
export function getEntryAt<C>(
  state: LogCoreState<C>,
  index: number,
): LogEntry<C> | undefined {
  return state.entries[index - state.snapshot.index - 1];
}

/** Term of the entry at an index; -1 when it is not known. */
export function getTermAt<C>(state: LogCoreState<C>, index: number): number {
  if (index === state.snapshot.index) return state.snapshot.term;
  return getEntryAt(state, index)?.term ?? -1;
}

/** Derives the voter sets from the snapshot and the entries. */
export function configOf<C>(state: LogCoreState<C>): VoterConfig {
  const {commitIndex} = state;
  let config: VoterConfig = {
    voters: state.snapshot.voters,
    outgoingVoters: null,
    beforeRepair: null,
    changeIndex: 0,
    closeIndex: 0,
    removed: [],
  };
  for (const {index, replacement, closes} of state.entries) {
    if (replacement) {
      const {voters, removed} = config;
      const {remove} = replacement;
      const committed = index <= commitIndex;
      config = {
        voters: changedVoters(voters, replacement),
        outgoingVoters: committed ? null : voters,
        beforeRepair: voters,
        changeIndex: index,
        closeIndex: 0,
        removed:
          committed && remove ? [...removed, getMemberKey(remove)] : removed,
      };
    } else if (closes !== undefined) {
      const beforeRepair = index <= commitIndex ? null : config.beforeRepair;
      config = {
        ...config,
        outgoingVoters: null,
        beforeRepair,
        closeIndex: index,
      };
    }
  }
  return config;
}

function changedVoters(
  voters: readonly MemberId[],
  {remove, add}: VoterChange,
): readonly MemberId[] {
  if (!remove) return [...voters, add];
  return voters.map(voter => (isSameMember(voter, remove) ? add : voter));
}

/** Whether an entry changes what `configOf` derives. */
export function changesConfig<C>({replacement, closes}: LogEntry<C>): boolean {
  return replacement !== undefined || closes !== undefined;
}

/** Whether this member is a voter in the newest voter set that it knows. */
export function isVoter<C>(state: LogCoreState<C>): boolean {
  return state.config.voters.some(voter => isSameMember(voter, state.self));
}

/**
 * Whether the accepted members hold a majority. While a replacement is
 * uncommitted both voter sets must agree: majorities of the old and the new
 * set need not overlap, because the two incarnations count separately.
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

/** Other voters of the sets in force. */
export function otherVoters<C>(state: LogCoreState<C>): readonly MemberId[] {
  const all = [...state.config.voters, ...(state.config.outgoingVoters ?? [])];
  const byKey = new Map(all.map(member => [getMemberKey(member), member]));
  byKey.delete(getMemberKey(state.self));
  return [...byKey.values()];
}

/**
 * Whether everything that was committed before the current term is known to be
 * committed here. A restarted member must not show its state before.
 */
export function hasRecovered<C>(state: LogCoreState<C>): boolean {
  return state.term > 0 && getTermAt(state, state.commitIndex) === state.term;
}

/** Whether a leader has committed an entry of its own term. */
export function committedInTerm<C>(state: LogCoreState<C>): boolean {
  return (
    state.role === 'leader' &&
    getTermAt(state, state.commitIndex) === state.term
  );
}
