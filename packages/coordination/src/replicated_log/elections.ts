/**
 * Leader election with terms, pre-vote and leader stickiness, after Ongaro,
 * "Consensus: Bridging Theory and Practice" (2014), chapters 3, 4 and 9.6.
 */
import {
  drawElectionDeadline,
  getOtherVoters,
  getTermAt,
  hasQuorum,
  isVoter,
  lastIndex,
  type LogCoreState,
  type Progress,
} from './core_state.js';
import {appendLeaderEntry, broadcastAppend} from './leader_replication.js';
import type {VoteReply} from './log_messages.js';
import {getMemberKey, isSameMember, type MemberId} from './members.js';
import {
  refusePendingReads,
  sendMessage,
  type StepContext,
} from './step_context.js';

/** Heartbeat intervals after which a pre-candidate asks for pre-votes again. */
const PRE_VOTE_INTERVALS = 2;

/**
 * Requests to join at intervals of a heartbeat, so that a member which starts
 * joins soon. Later requests come once per election timeout: the leader
 * remembers them, and most members are not needed as voters for days.
 */
const FREQUENT_JOIN_ATTEMPTS = 30;

type Candidacy = 'pre-vote' | 'vote' | 'transfer';

/** Changes to the follower role in the given term. */
export function becomeFollower<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  term: number,
  leader: MemberId | null,
): LogCoreState<C> {
  refusePendingReads(ctx, state);
  const newTerm = term > state.term;
  return {
    ...state,
    role: 'follower',
    term,
    leader,
    votedFor: newTerm ? null : state.votedFor,
    matchedIndex: newTerm ? state.commitIndex : state.matchedIndex,
    lastLeaderRound: newTerm ? 0 : state.lastLeaderRound,
    electionDeadline: drawElectionDeadline(ctx, ctx.cfg),
    votes: [],
    progress: {},
    roundTimes: [],
    pendingReads: [],
    transfer: null,
  };
}

/** Starts an election; a learner asks the leader to replicate to it instead. */
export function campaign<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  kind: Candidacy,
): LogCoreState<C> {
  if (!isVoter(state)) return sendJoinRequests(ctx, state);
  // A later leader may lack the uncommitted change that makes this a voter.
  const {outgoingVoters} = state.config;
  const unconfirmed = outgoingVoters?.every(v => !isSameMember(v, state.self));
  // A voter without success may have been replaced while it was away.
  const isRepeated = state.role === 'pre-candidate';
  if (unconfirmed || isRepeated) sendJoinRequests(ctx, state);
  const pre = kind === 'pre-vote';
  const self = getMemberKey(state.self);
  const next: LogCoreState<C> = {
    ...state,
    role: pre ? 'pre-candidate' : 'candidate',
    term: pre ? state.term : state.term + 1,
    votedFor: pre ? state.votedFor : self,
    leader: null,
    matchedIndex: state.commitIndex,
    lastLeaderRound: 0,
    electionDeadline: pre
      ? drawPreVoteDeadline(ctx)
      : drawElectionDeadline(ctx, ctx.cfg),
    votes: [self],
    earlierLeaseUntil: getOwnEarlierLease(state, kind),
  };
  if (!pre) saveVote(ctx, next);
  requestVotes(ctx, next, kind);
  return countVotes(ctx, next);
}

function requestVotes<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  kind: Candidacy,
): void {
  const pre = kind === 'pre-vote';
  const request = {
    type: 'vote' as const,
    term: pre ? state.term + 1 : state.term,
    pre,
    transfer: kind === 'transfer',
    lastIndex: lastIndex(state),
    lastTerm: getTermAt(state, lastIndex(state)),
  };
  for (const member of getOtherVoters(state)) {
    sendMessage(ctx, member, request, !pre);
  }
}

/**
 * Starts an election for a leader that has given up its lease, but may have
 * been elected during the lease of an earlier one.
 */
export function campaignForTransfer<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  earlierLeaseMs = 0,
): LogCoreState<C> {
  const earlierLeaseUntil = ctx.now + earlierLeaseMs;
  return campaign(ctx, {...state, earlierLeaseUntil}, 'transfer');
}

/** Until when the leader that this member has followed may hold its lease. */
function getOwnEarlierLease<C>(
  state: LogCoreState<C>,
  kind: Candidacy,
): number {
  if (kind === 'transfer') return state.earlierLeaseUntil;
  const isAlone = getOtherVoters(state).length === 0;
  return isAlone ? Number.NEGATIVE_INFINITY : state.promisedUntil;
}

/** Handles a reply to this member's request for votes or pre-votes. */
export function handleVoteReply<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  from: MemberId,
  message: VoteReply,
): LogCoreState<C> {
  if (!message.granted) {
    return message.term > state.term
      ? becomeFollower(ctx, state, message.term, null)
      : state;
  }
  const isExpected = message.pre
    ? state.role === 'pre-candidate' && message.term === state.term + 1
    : state.role === 'candidate' && message.term === state.term;
  const key = getMemberKey(from);
  if (!isExpected || state.votes.includes(key)) return state;
  const {promisedMs = ctx.cfg.electionTimeoutMs} = message;
  return countVotes(ctx, {
    ...state,
    votes: [...state.votes, key],
    earlierLeaseUntil: message.pre
      ? state.earlierLeaseUntil
      : Math.max(state.earlierLeaseUntil, ctx.now + promisedMs),
  });
}

/**
 * Pre-votes change no state, so they are repeated soon: other members may have
 * heard the lost leader later, and still wait for it.
 */
function drawPreVoteDeadline<C>({now, random, cfg}: StepContext<C>): number {
  const delayMs = PRE_VOTE_INTERVALS * cfg.heartbeatMs * (1 + random);
  return now + Math.min(delayMs, cfg.electionTimeoutMs);
}

/**
 * Asks all known members to join, because the leader may be a voter that this
 * member's log does not contain yet.
 */
function sendJoinRequests<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): LogCoreState<C> {
  const known = new Map(
    getOtherVoters(state).map(voter => [voter.name, voter]),
  );
  for (const [name, incarnation] of Object.entries(
    state.registeredIncarnations,
  )) {
    known.set(name, {name, incarnation});
  }
  known.delete(state.self.name);
  for (const member of known.values()) {
    sendMessage(ctx, member, {type: 'join', term: state.term});
  }
  const {heartbeatMs, electionTimeoutMs} = ctx.cfg;
  const joinAttempts = state.leader ? 1 : state.joinAttempts + 1;
  const isFrequent = joinAttempts < FREQUENT_JOIN_ATTEMPTS;
  const intervalMs = isFrequent ? heartbeatMs : electionTimeoutMs;
  return {
    ...state,
    leader: null,
    joinAttempts,
    electionDeadline: ctx.now + intervalMs * (1 + ctx.random),
  };
}

/** Saves the term and the vote; nothing is kept in memory mode. */
export function saveVote<C>(ctx: StepContext<C>, state: LogCoreState<C>): void {
  if (!ctx.cfg.syncEverything) return;
  const {term, votedFor} = state;
  ctx.effects.push({type: 'save-vote', term, votedFor});
}

function countVotes<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): LogCoreState<C> {
  const hasWon = hasQuorum(state.config, member =>
    state.votes.includes(getMemberKey(member)),
  );
  if (!hasWon) return state;
  if (state.role === 'pre-candidate') return campaign(ctx, state, 'vote');
  return becomeLeader(ctx, state);
}

function becomeLeader<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): LogCoreState<C> {
  const progress = Object.fromEntries(
    getOtherVoters(state).map(member => [
      getMemberKey(member),
      createProgress(member, lastIndex(state) + 1, ctx.now),
    ]),
  );
  const leader: LogCoreState<C> = {
    ...state,
    role: 'leader',
    leader: state.self,
    progress,
    leaderSince: ctx.now,
    leaseRevoked: false,
    votes: [],
  };
  // Entries of earlier terms are committed only together with a later entry of
  // the leader's own term, so the leader starts with an empty one.
  const appended = appendLeaderEntry(ctx, leader, {
    commands: [],
    durable: false,
  });
  return broadcastAppend(ctx, appended);
}

/** Creates the progress of a member that has not replied yet. */
export function createProgress(
  member: MemberId,
  next: number,
  addedAt: number,
): Progress {
  return {
    member,
    match: 0,
    next,
    synced: 0,
    disk: false,
    ackedRound: 0,
    addedAt,
    ackedAt: Number.NEGATIVE_INFINITY,
    promisedUntil: Number.NEGATIVE_INFINITY,
    snapshotSentAt: Number.NEGATIVE_INFINITY,
  };
}
