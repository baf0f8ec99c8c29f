/**
 * Core of the replicated log: a pure function from a state and an event to the
 * next state and the effects to carry out. Both `CoreRunner` and the model
 * checker call it.
 */
import {assertNever} from '@mustardferry/model';

import {handleAppendReply} from './append_replies.js';
import type {LogEffect, LogEvent, StepResult} from './core_events.js';
import {
  getTermAt,
  isVoter,
  type LogCoreConfig,
  type LogCoreState,
} from './core_state.js';
import {
  becomeFollower,
  campaign,
  campaignForTransfer,
  handleVoteReply,
} from './elections.js';
import {
  acknowledgeAppend,
  handleAppend,
  handleInstallSnapshot,
} from './follower_replication.js';
import {
  advanceCommit,
  appendLeaderEntry,
  broadcastAppend,
  sendAppendToAll,
  sendTimeoutNow,
} from './leader_replication.js';
import {
  addWaitingLearners,
  handleJoinRequest,
  removeSilentLearners,
} from './learners.js';
import {completeReads, isQuorumLost} from './leases.js';
import type {LogMessage} from './log_messages.js';
import {getMemberKey, isSameMember, type MemberId} from './members.js';
import type {StepContext} from './step_context.js';
import {canBecomeVoter, promoteLearner} from './voter_changes.js';
import {deriveVoterConfig} from './voter_config.js';
import {handleVoteRequest} from './votes.js';

/** Handles one event. */
export function step<C>(
  state: LogCoreState<C>,
  event: LogEvent<C>,
  cfg: LogCoreConfig,
): StepResult<C> {
  const effects: LogEffect<C>[] = [];
  const ctx = {cfg, now: event.now, random: event.random, effects};
  return {state: handleEvent(ctx, state, event), effects};
}

function handleEvent<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  event: LogEvent<C>,
): LogCoreState<C> {
  switch (event.type) {
    case 'tick':
      return handleTick(ctx, state);
    case 'receive':
      return handleMessage(ctx, state, event.from, event.message);
    case 'propose': {
      if (state.role !== 'leader' || state.transfer) return state;
      const {commands, bytes = 0, durable} = event;
      const content = {commands, bytes, durable};
      const appended = appendLeaderEntry(ctx, state, content);
      return sendAppendToAll(ctx, appended, false);
    }
    case 'synced':
      return handleSynced(ctx, state, event.index, event.term);
    case 'storage-failed':
      return {...state, diskFailed: true};
    case 'read':
      return startRead(ctx, state, event.id);
    case 'registered':
      return handleRegistration(ctx, state, event.member);
    case 'peer-lost':
      return handlePeerLost(ctx, state, event.name);
    case 'transfer':
      return startTransfer(ctx, state, event.to);
    case 'snapshot-taken':
      return compactLog(ctx, state, event.index, event.data);
    default:
      return assertNever(event);
  }
}

function handleTick<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): LogCoreState<C> {
  if (state.role !== 'leader') {
    return ctx.now >= state.electionDeadline
      ? campaign(ctx, state, 'pre-vote')
      : state;
  }
  if (isQuorumLost(state, ctx)) {
    return becomeFollower(ctx, state, state.term, null);
  }
  const expired = state.transfer && ctx.now >= state.transfer.deadline;
  const current = expired ? {...state, transfer: null} : state;
  if (ctx.now < current.heartbeatDeadline) return current;
  return promoteLearner(
    ctx,
    broadcastAppend(
      ctx,
      addWaitingLearners(ctx, removeSilentLearners(ctx, current)),
    ),
  );
}

function handleMessage<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  from: MemberId,
  message: LogMessage<C>,
): LogCoreState<C> {
  const isAddressee =
    message.to === state.self.incarnation || message.type === 'join';
  if (!isAddressee || isSameMember(from, state.self)) return state;
  const isRemoved = state.config.removedKeys.includes(getMemberKey(from));
  if (isRemoved && !isHandledAfterRemoval(ctx, state, from, message)) {
    return state;
  }
  switch (message.type) {
    case 'append':
      return handleAppend(ctx, state, from, message);
    case 'install':
      return handleInstallSnapshot(ctx, state, from, message);
    case 'append-reply':
      return message.term > state.term
        ? becomeFollower(ctx, state, message.term, null)
        : handleAppendReply(ctx, state, from, message);
    case 'vote':
      return handleVoteRequest(ctx, state, from, message);
    case 'vote-reply':
      return handleVoteReply(ctx, state, from, message);
    case 'timeout-now':
      return message.term === state.term && state.role === 'follower'
        ? campaignForTransfer(ctx, state, message.earlierLeaseMs)
        : state;
    case 'join':
      return handleJoinRequest(ctx, state, from);
    default:
      return assertNever(message);
  }
}

/**
 * Whether a message of a removed voter is handled. With its disk kept, it may
 * join as a learner and become a voter again, and it may then be the leader of
 * a member that has not received that voter change yet.
 */
function isHandledAfterRemoval<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  from: MemberId,
  {type}: LogMessage<C>,
): boolean {
  if (state.role !== 'leader') return type === 'append' || type === 'install';
  if (type === 'append-reply') return getMemberKey(from) in state.progress;
  const isVoterName = state.config.voters.some(v => v.name === from.name);
  return type === 'join' && !isVoterName && canBecomeVoter(ctx, state, from);
}

function handleSynced<C>(
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
  if (state.leader) acknowledgeAppend(ctx, synced, state.leader);
  return synced;
}

function startRead<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  id: number,
): LogCoreState<C> {
  if (state.role !== 'leader' || state.transfer) {
    ctx.effects.push({type: 'read-refused', id});
    return state;
  }
  const next = broadcastAppend(ctx, state);
  const pendingReads = [...state.pendingReads, {id, round: next.round}];
  return completeReads(ctx, {...next, pendingReads});
}

function handleRegistration<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  member: MemberId,
): LogCoreState<C> {
  const {name, incarnation} = member;
  const registeredIncarnations = {
    ...state.registeredIncarnations,
    [name]: incarnation,
  };
  return promoteLearner(ctx, {...state, registeredIncarnations});
}

function handlePeerLost<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  name: string,
): LogCoreState<C> {
  if (state.role === 'leader') {
    const entries = Object.entries(state.progress).map(([key, peer]) => [
      key,
      peer.member.name === name
        ? {...peer, ackedAt: -Infinity, promisedUntil: -Infinity}
        : peer,
    ]);
    return {...state, progress: Object.fromEntries(entries)};
  }
  if (state.leader?.name !== name) return state;
  const alone = {
    ...state,
    leader: null,
    leaderLost: true,
    lastLeaderContactAt: Number.NEGATIVE_INFINITY,
  };
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
  const transferring = {...state, leaseRevoked: true, transfer: {to, deadline}};
  return sendTimeoutNow(ctx, transferring);
}

function compactLog<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  index: number,
  data: Uint8Array,
): LogCoreState<C> {
  const {snapshot: old} = state;
  if (index <= old.index || index > state.commitIndex) return state;
  // Snapshots contain only the voters, so the change would look complete.
  const {votersBeforeChange, changeIndex} = state.config;
  if (votersBeforeChange && index >= changeIndex) return state;
  const covered = state.entries.slice(0, index - old.index);
  const {voters} = deriveVoterConfig({...state, entries: covered});
  const snapshot = {index, term: getTermAt(state, index), voters, data};
  if (ctx.cfg.hasDisk && !state.diskFailed) {
    ctx.effects.push({type: 'save-snapshot', snapshot, keepSuffix: true});
  }
  return {...state, snapshot, entries: state.entries.slice(covered.length)};
}
