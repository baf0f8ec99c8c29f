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
import {isQuorumActive} from './leases.js';
import type {VoteReply, VoteRequest} from './log_messages.js';
import {getMemberKey, isSameMember, type MemberId} from './members.js';
import {
  refusePendingReads,
  sendMessage,
  type StepContext,
} from './step_context.js';

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
  kind: 'pre-vote' | 'vote' | 'transfer',
): LogCoreState<C> {
  if (!isVoter(state)) return sendJoinRequests(ctx, state);
  // A later leader may lack the uncommitted change that makes this a voter.
  const {outgoingVoters} = state.config;
  const unconfirmed = outgoingVoters?.every(v => !isSameMember(v, state.self));
  if (unconfirmed) sendJoinRequests(ctx, state);
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
    electionDeadline: drawElectionDeadline(ctx, ctx.cfg),
    votes: [self],
  };
  if (!pre) saveVote(ctx, next);
  for (const member of getOtherVoters(next)) {
    sendMessage(
      ctx,
      member,
      {
        type: 'vote',
        term: state.term + 1,
        pre,
        transfer: kind === 'transfer',
        lastIndex: lastIndex(state),
        lastTerm: getTermAt(state, lastIndex(state)),
      },
      !pre,
    );
  }
  return countVotes(ctx, next);
}

/** Handles a request for a vote or pre-vote. */
export function handleVoteRequest<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  from: MemberId,
  message: VoteRequest,
): LogCoreState<C> {
  if (!message.transfer && hasActiveLeader(ctx, state)) return state;
  if (message.pre) return handlePreVoteRequest(ctx, state, from, message);
  const current =
    message.term > state.term
      ? becomeFollower(ctx, state, message.term, null)
      : state;
  const key = getMemberKey(from);
  const granted =
    message.term === current.term &&
    (current.role === 'follower' || current.role === 'pre-candidate') &&
    (current.votedFor === null || current.votedFor === key) &&
    isLogUpToDate(current, message);
  const next = granted
    ? {
        ...current,
        role: 'follower' as const,
        votedFor: key,
        electionDeadline: drawElectionDeadline(ctx, ctx.cfg),
      }
    : current;
  if (granted && current.votedFor === null) saveVote(ctx, next);
  sendMessage(
    ctx,
    from,
    {type: 'vote-reply', term: next.term, pre: false, granted},
    true,
  );
  return next;
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
  return countVotes(ctx, {...state, votes: [...state.votes, key]});
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
  return {
    ...state,
    leader: null,
    electionDeadline: ctx.now + ctx.cfg.heartbeatMs * (1 + ctx.random),
  };
}

function handlePreVoteRequest<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  from: MemberId,
  message: VoteRequest,
): LogCoreState<C> {
  // Members that lose the same leader campaign simultaneously. Of those with
  // equal logs only the one with the lowest key gets the pre-vote, which avoids
  // a split vote.
  const yieldsToSender =
    state.role !== 'pre-candidate' ||
    message.lastIndex > lastIndex(state) ||
    getMemberKey(from) < getMemberKey(state.self);
  const granted =
    message.term > state.term &&
    yieldsToSender &&
    isLogUpToDate(state, message);
  const term = granted ? message.term : state.term;
  sendMessage(ctx, from, {type: 'vote-reply', term, pre: true, granted});
  return state;
}

/** Whether a leader was active so recently that it may hold a lease. */
function hasActiveLeader<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): boolean {
  if (state.role === 'leader') return isQuorumActive(state, ctx);
  return ctx.now - state.lastLeaderContactAt < ctx.cfg.electionTimeoutMs;
}

function isLogUpToDate<C>(
  state: LogCoreState<C>,
  message: VoteRequest,
): boolean {
  const term = getTermAt(state, lastIndex(state));
  if (message.lastTerm !== term) return message.lastTerm > term;
  return message.lastIndex >= lastIndex(state);
}

function saveVote<C>(ctx: StepContext<C>, state: LogCoreState<C>): void {
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
    snapshotSentAt: Number.NEGATIVE_INFINITY,
  };
}
