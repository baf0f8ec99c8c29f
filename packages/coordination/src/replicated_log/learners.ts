/** Learners of a leader: which members without a vote receive the log. */
import {lastIndex, type LogCoreState} from './core_state.js';
import {createProgress} from './elections.js';
import {getMemberKey, type MemberId} from './members.js';
import type {StepContext} from './step_context.js';
import {canBecomeVoter} from './voter_changes.js';

/** Election timeouts without a reply after which a learner is removed. */
const LEARNER_EXPIRY_TIMEOUTS = 10;

/**
 * Election timeouts for which a request to join is remembered: two intervals
 * between requests, the longest of which is two timeouts, and a margin.
 */
const JOIN_MEMORY_TIMEOUTS = 5;

/** Adds a member as a learner, or remembers that it asks to be one. */
export function handleJoinRequest<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  from: MemberId,
): LogCoreState<C> {
  const key = getMemberKey(from);
  if (state.role !== 'leader' || state.progress[key]) return state;
  if (mayLearn(ctx, state, from)) return addLearner(ctx, state, from);
  const request = {member: from, at: ctx.now};
  return {...state, joinRequests: {...state.joinRequests, [key]: request}};
}

/**
 * Adds the members that asked to join when there was no need for them, so that
 * a silent voter is replaced as soon as it may be.
 */
export function addWaitingLearners<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): LogCoreState<C> {
  if (Object.keys(state.joinRequests).length === 0) return state;
  const limitMs = ctx.cfg.electionTimeoutMs * JOIN_MEMORY_TIMEOUTS;
  const recent = Object.entries(state.joinRequests).filter(
    ([key, {at}]) => ctx.now - at < limitMs && !state.progress[key],
  );
  let next: LogCoreState<C> = {
    ...state,
    joinRequests: Object.fromEntries(recent),
  };
  for (const [, {member}] of recent) {
    if (mayLearn(ctx, next, member)) next = addLearner(ctx, next, member);
  }
  return next;
}

function mayLearn<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  member: MemberId,
): boolean {
  const isVoterName = state.config.voters.some(v => v.name === member.name);
  return isVoterName || canBecomeVoter(ctx, state, member);
}

function addLearner<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  member: MemberId,
): LogCoreState<C> {
  const key = getMemberKey(member);
  const learner = createProgress(member, lastIndex(state) + 1, ctx.now);
  return {...state, progress: {...state.progress, [key]: learner}};
}

/** Removes the learners that have not replied for a long time. */
export function removeSilentLearners<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): LogCoreState<C> {
  const limit = ctx.cfg.electionTimeoutMs * LEARNER_EXPIRY_TIMEOUTS;
  const {voters, outgoingVoters} = state.config;
  const keys = [...voters, ...(outgoingVoters ?? [])].map(getMemberKey);
  const kept = Object.entries(state.progress).filter(
    ([key, {ackedAt, addedAt}]) =>
      keys.includes(key) || ctx.now - Math.max(ackedAt, addedAt) < limit,
  );
  if (kept.length === Object.keys(state.progress).length) return state;
  return {...state, progress: Object.fromEntries(kept)};
}
