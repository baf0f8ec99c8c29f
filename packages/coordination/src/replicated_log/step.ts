/**
 * The replicated log's core: a pure function from a state and an event to the
 * next state and the effects to carry out. The driver and the model checker
 * call this same function.
 */
import {assertNever} from '@mustardferry/model';

import {receiveAppendReply} from './append_replies.js';
import type {LogEffect, LogEvent, StepResult} from './core_events.js';
import {
  configOf,
  getTermAt,
  isVoter,
  lastIndex,
  type LogCoreConfig,
  type LogCoreState,
} from './core_state.js';
import {
  becomeFollower,
  campaign,
  newProgress,
  receiveVoteReply,
  receiveVoteRequest,
} from './elections.js';
import {acknowledge, receiveAppend, receiveInstall} from './following.js';
import {completeReads, quorumIsLost} from './leases.js';
import type {LogMessage} from './log_messages.js';
import {getMemberKey, isSameMember, type MemberId} from './members.js';
import {
  advanceCommit,
  appendAsLeader,
  broadcast,
  requestTakeover,
  sendToAll,
} from './replication.js';
import type {StepContext} from './step_context.js';
import {hasPlaceFor, promoteLearner} from './voter_changes.js';

/** A learner that is silent for this many election timeouts is forgotten. */
const LEARNER_EXPIRY_TIMEOUTS = 10;

/** Applies one event. */
export function step<C>(
  state: LogCoreState<C>,
  event: LogEvent<C>,
  cfg: LogCoreConfig,
): StepResult<C> {
  const effects: LogEffect<C>[] = [];
  const ctx = {cfg, now: event.now, random: event.random, effects};
  return {state: handle(ctx, state, event), effects};
}

function handle<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  event: LogEvent<C>,
): LogCoreState<C> {
  switch (event.type) {
    case 'tick':
      return tick(ctx, state);
    case 'receive':
      return receive(ctx, state, event.from, event.message);
    case 'propose': {
      if (state.role !== 'leader' || state.transfer) return state;
      const {commands, durable} = event;
      const appended = appendAsLeader(ctx, state, {commands, durable});
      return sendToAll(ctx, appended, false);
    }
    case 'synced':
      return entriesSynced(ctx, state, event.index, event.term);
    case 'storage-failed':
      return {...state, diskFailed: true};
    case 'read':
      return read(ctx, state, event.id);
    case 'registered':
      return register(ctx, state, event.member);
    case 'peer-lost':
      return peerLost(ctx, state, event.name);
    case 'transfer':
      return startTransfer(ctx, state, event.to);
    case 'snapshot-taken':
      return takeSnapshot(ctx, state, event.index, event.data);
    default:
      return assertNever(event);
  }
}

function tick<C>(ctx: StepContext<C>, state: LogCoreState<C>): LogCoreState<C> {
  if (state.role !== 'leader') {
    return ctx.now >= state.electionDeadline
      ? campaign(ctx, state, 'pre-vote')
      : state;
  }
  if (quorumIsLost(state, ctx)) {
    return becomeFollower(ctx, state, state.term, null);
  }
  const expired = state.transfer && ctx.now >= state.transfer.deadline;
  const current = expired ? {...state, transfer: null} : state;
  if (ctx.now < current.heartbeatDue) return current;
  return promoteLearner(ctx, broadcast(ctx, forgetLearners(ctx, current)));
}

function receive<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  from: MemberId,
  message: LogMessage<C>,
): LogCoreState<C> {
  const addressed =
    message.to === state.self.incarnation || message.type === 'join';
  const removed = state.config.removed.includes(getMemberKey(from));
  if (!addressed || removed || isSameMember(from, state.self)) return state;
  switch (message.type) {
    case 'append':
      return receiveAppend(ctx, state, from, message);
    case 'install':
      return receiveInstall(ctx, state, from, message);
    case 'append-reply':
      return message.term > state.term
        ? becomeFollower(ctx, state, message.term, null)
        : receiveAppendReply(ctx, state, from, message);
    case 'vote':
      return receiveVoteRequest(ctx, state, from, message);
    case 'vote-reply':
      return receiveVoteReply(ctx, state, from, message);
    case 'timeout-now':
      return message.term === state.term && state.role === 'follower'
        ? campaign(ctx, state, 'transfer')
        : state;
    case 'join':
      return admitLearner(ctx, state, from);
    default:
      return assertNever(message);
  }
}

function entriesSynced<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  index: number,
  term: number,
): LogCoreState<C> {
  if (index <= state.syncedIndex || getTermAt(state, index) !== term)
    return state;
  const synced = {...state, syncedIndex: index};
  if (state.role === 'leader') {
    return completeReads(ctx, advanceCommit(ctx, synced));
  }
  if (state.leader) acknowledge(ctx, synced, state.leader);
  return synced;
}

function read<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  id: number,
): LogCoreState<C> {
  if (state.role !== 'leader' || state.transfer) {
    ctx.effects.push({type: 'read-refused', id});
    return state;
  }
  const next = broadcast(ctx, state);
  const reads = [...state.reads, {id, round: next.round}];
  return completeReads(ctx, {...next, reads});
}

function register<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  member: MemberId,
): LogCoreState<C> {
  const {name, incarnation} = member;
  const registered = {...state.registered, [name]: incarnation};
  return promoteLearner(ctx, {...state, registered});
}

function peerLost<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  name: string,
): LogCoreState<C> {
  if (state.role === 'leader') {
    const entries = Object.entries(state.progress).map(([key, peer]) => [
      key,
      peer.member.name === name ? {...peer, ackedAt: -Infinity} : peer,
    ]);
    return {...state, progress: Object.fromEntries(entries)};
  }
  if (state.leader?.name !== name) return state;
  const alone = {...state, leader: null, heardAt: Number.NEGATIVE_INFINITY};
  return isVoter(state) ? campaign(ctx, alone, 'pre-vote') : alone;
}

function startTransfer<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  to: MemberId,
): LogCoreState<C> {
  const isOtherVoter =
    !isSameMember(to, state.self) &&
    state.config.voters.some(voter => isSameMember(voter, to));
  if (state.role !== 'leader' || state.transfer || !isOtherVoter) return state;
  const deadline = ctx.now + ctx.cfg.electionTimeoutMs;
  const transferring = {...state, leaseVoid: true, transfer: {to, deadline}};
  return requestTakeover(ctx, transferring);
}

function takeSnapshot<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  index: number,
  data: Uint8Array,
): LogCoreState<C> {
  const {snapshot: old} = state;
  if (index <= old.index || index > state.commitIndex) return state;
  // A snapshot of an incomplete repair would show it as complete.
  const {beforeRepair, changeIndex} = state.config;
  if (beforeRepair && index >= changeIndex) return state;
  const covered = state.entries.slice(0, index - old.index);
  const {voters} = configOf({...state, entries: covered});
  const snapshot = {index, term: getTermAt(state, index), voters, data};
  if (ctx.cfg.hasDisk && !state.diskFailed) {
    ctx.effects.push({type: 'save-snapshot', snapshot, keepSuffix: true});
  }
  return {...state, snapshot, entries: state.entries.slice(covered.length)};
}

function admitLearner<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  from: MemberId,
): LogCoreState<C> {
  const key = getMemberKey(from);
  if (state.role !== 'leader' || state.progress[key]) return state;
  const nameVotes = state.config.voters.some(v => v.name === from.name);
  if (!nameVotes && !hasPlaceFor(ctx, state, from)) return state;
  const learner = newProgress(from, lastIndex(state) + 1, ctx.now);
  return {...state, progress: {...state.progress, [key]: learner}};
}

function forgetLearners<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): LogCoreState<C> {
  const limit = ctx.cfg.electionTimeoutMs * LEARNER_EXPIRY_TIMEOUTS;
  const {voters, outgoingVoters: previous} = state.config;
  const keys = [...voters, ...(previous ?? [])].map(getMemberKey);
  const kept = Object.entries(state.progress).filter(
    ([key, {ackedAt, addedAt}]) =>
      keys.includes(key) || ctx.now - Math.max(ackedAt, addedAt) < limit,
  );
  if (kept.length === Object.keys(state.progress).length) return state;
  return {...state, progress: Object.fromEntries(kept)};
}
