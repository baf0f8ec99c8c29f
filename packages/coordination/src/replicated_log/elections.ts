/**
 * Leader election with terms, pre-vote and leader stickiness, after Ongaro,
 * "Consensus: Bridging Theory and Practice" (2014), chapters 3, 4 and 9.6.
 */
import {
  electionDeadline,
  getTermAt,
  hasQuorum,
  isVoter,
  lastIndex,
  type LogCoreState,
  otherVoters,
  type Progress,
} from './core_state.js';
import {quorumIsActive} from './leases.js';
import type {VoteReply, VoteRequest} from './log_messages.js';
import {getMemberKey, isSameMember, type MemberId} from './members.js';
import {appendAsLeader, broadcast} from './replication.js';
import {refuseReads, send, type StepContext} from './step_context.js';

/** Returns to the follower role, in the given term. */
export function becomeFollower<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  term: number,
  leader: MemberId | null,
): LogCoreState<C> {
  refuseReads(ctx, state);
  const newTerm = term > state.term;
  return {
    ...state,
    role: 'follower',
    term,
    leader,
    votedFor: newTerm ? null : state.votedFor,
    matchedIndex: newTerm ? state.commitIndex : state.matchedIndex,
    heardRound: newTerm ? 0 : state.heardRound,
    electionDeadline: electionDeadline(ctx, ctx.cfg),
    votes: [],
    progress: {},
    roundTimes: [],
    reads: [],
    transfer: null,
  };
}

/** Starts an election; a non-voter asks the leader to replicate to it. */
export function campaign<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  kind: 'pre-vote' | 'vote' | 'transfer',
): LogCoreState<C> {
  if (!isVoter(state)) return askToJoin(ctx, state);
  // A replacement that never commits may be unknown to a later leader.
  const {outgoingVoters: previous} = state.config;
  const uncertain = previous?.every(voter => !isSameMember(voter, state.self));
  if (uncertain) askToJoin(ctx, state);
  const pre = kind === 'pre-vote';
  const self = getMemberKey(state.self);
  const next: LogCoreState<C> = {
    ...state,
    role: pre ? 'pre-candidate' : 'candidate',
    term: pre ? state.term : state.term + 1,
    votedFor: pre ? state.votedFor : self,
    leader: null,
    matchedIndex: state.commitIndex,
    heardRound: 0,
    electionDeadline: electionDeadline(ctx, ctx.cfg),
    votes: [self],
  };
  if (!pre) saveVote(ctx, next);
  for (const member of otherVoters(next)) {
    send(
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

/** Answers a request for a vote or pre-vote. */
export function receiveVoteRequest<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  from: MemberId,
  message: VoteRequest,
): LogCoreState<C> {
  if (!message.transfer && followsActiveLeader(ctx, state)) return state;
  if (message.pre) return answerPreVote(ctx, state, from, message);
  const current =
    message.term > state.term
      ? becomeFollower(ctx, state, message.term, null)
      : state;
  const key = getMemberKey(from);
  const granted =
    message.term === current.term &&
    (current.role === 'follower' || current.role === 'pre-candidate') &&
    (current.votedFor === null || current.votedFor === key) &&
    isUpToDate(current, message);
  const next = granted
    ? {
        ...current,
        role: 'follower' as const,
        votedFor: key,
        electionDeadline: electionDeadline(ctx, ctx.cfg),
      }
    : current;
  if (granted && current.votedFor === null) saveVote(ctx, next);
  send(
    ctx,
    from,
    {type: 'vote-reply', term: next.term, pre: false, granted},
    true,
  );
  return next;
}

/** Counts a reply to this member's own request. */
export function receiveVoteReply<C>(
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
  const awaited = message.pre
    ? state.role === 'pre-candidate' && message.term === state.term + 1
    : state.role === 'candidate' && message.term === state.term;
  const key = getMemberKey(from);
  if (!awaited || state.votes.includes(key)) return state;
  return countVotes(ctx, {...state, votes: [...state.votes, key]});
}

/** The leader may be a voter that this member's log doesn't tell of yet. */
function askToJoin<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): LogCoreState<C> {
  const known = new Map(otherVoters(state).map(voter => [voter.name, voter]));
  for (const [name, incarnation] of Object.entries(state.registered)) {
    known.set(name, {name, incarnation});
  }
  known.delete(state.self.name);
  for (const member of known.values()) {
    send(ctx, member, {type: 'join', term: state.term});
  }
  return {
    ...state,
    leader: null,
    electionDeadline: ctx.now + ctx.cfg.heartbeatMs * (1 + ctx.random),
  };
}

function answerPreVote<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  from: MemberId,
  message: VoteRequest,
): LogCoreState<C> {
  // Members that lose the same leader start together; only the request of
  // the one with the lowest key passes, which avoids a split vote.
  const yields =
    state.role !== 'pre-candidate' ||
    message.lastIndex > lastIndex(state) ||
    getMemberKey(from) < getMemberKey(state.self);
  const granted =
    message.term > state.term && yields && isUpToDate(state, message);
  const term = granted ? message.term : state.term;
  send(ctx, from, {type: 'vote-reply', term, pre: true, granted});
  return state;
}

/** Whether a leader was heard from so recently that it may hold a lease. */
function followsActiveLeader<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): boolean {
  if (state.role === 'leader') return quorumIsActive(state, ctx);
  return ctx.now - state.heardAt < ctx.cfg.electionTimeoutMs;
}

function isUpToDate<C>(state: LogCoreState<C>, message: VoteRequest): boolean {
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
  const won = hasQuorum(state.config, member =>
    state.votes.includes(getMemberKey(member)),
  );
  if (!won) return state;
  if (state.role === 'pre-candidate') return campaign(ctx, state, 'vote');
  return becomeLeader(ctx, state);
}

function becomeLeader<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): LogCoreState<C> {
  const progress = Object.fromEntries(
    otherVoters(state).map(member => [
      getMemberKey(member),
      newProgress(member, lastIndex(state) + 1, ctx.now),
    ]),
  );
  const leader: LogCoreState<C> = {
    ...state,
    role: 'leader',
    leader: state.self,
    progress,
    leaderSince: ctx.now,
    leaseVoid: false,
    votes: [],
  };
  // Entries of earlier terms commit only through one of the leader's own.
  const appended = appendAsLeader(ctx, leader, {commands: [], durable: false});
  return broadcast(ctx, appended);
}

/** Progress of a member that nothing is known about yet. */
export function newProgress(
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
