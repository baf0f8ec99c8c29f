/** Grants votes and pre-votes to candidates. */
import {
  drawElectionDeadline,
  getTermAt,
  lastIndex,
  type LogCoreState,
} from './core_state.js';
import {becomeFollower, saveVote} from './elections.js';
import {getRemainingPromiseMs, isFollowingLeader} from './leader_contact.js';
import {isQuorumActive} from './leases.js';
import type {VoteRequest} from './log_messages.js';
import {getMemberKey, type MemberId} from './members.js';
import {sendMessage, type StepContext} from './step_context.js';

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
  const next = granted ? grantVote(ctx, current, key) : current;
  // The leader that transfers its leadership has given up its lease.
  const promisedMs = message.transfer
    ? 0
    : getRemainingPromiseMs(state, ctx.now);
  const {term} = next;
  const reply = {
    type: 'vote-reply',
    term,
    pre: false,
    granted,
    promisedMs,
  } as const;
  sendMessage(ctx, from, reply, true);
  return next;
}

function grantVote<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  key: string,
): LogCoreState<C> {
  const next: LogCoreState<C> = {
    ...state,
    role: 'follower',
    votedFor: key,
    electionDeadline: drawElectionDeadline(ctx, ctx.cfg),
  };
  if (state.votedFor === null) saveVote(ctx, next);
  return next;
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
  return isFollowingLeader(state, ctx.now);
}

function isLogUpToDate<C>(
  state: LogCoreState<C>,
  message: VoteRequest,
): boolean {
  const term = getTermAt(state, lastIndex(state));
  if (message.lastTerm !== term) return message.lastTerm > term;
  return message.lastIndex >= lastIndex(state);
}
