/** Leader's side of replication: sending entries and committing them. */
import {
  getTermAt,
  hasQuorum,
  lastIndex,
  type LogCoreConfig,
  type LogCoreState,
  type Progress,
} from './core_state.js';
import {sliceEntries} from './entry_slices.js';
import type {LogEntry} from './log_entries.js';
import {
  ABSENT_INCARNATION,
  getMemberKey,
  isSameMember,
  type MemberId,
} from './members.js';
import {sendMessage, type StepContext} from './step_context.js';
import {changesVoterConfig, deriveVoterConfig} from './voter_config.js';

/** Send times kept; replies to older rounds do not extend the lease. */
const MAX_ROUND_TIMES = 64;

/** Appends an entry to the leader's own log. */
export function appendLeaderEntry<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  content: Omit<LogEntry<C>, 'index' | 'term'>,
): LogCoreState<C> {
  const entry: LogEntry<C> = {
    ...content,
    index: lastIndex(state) + 1,
    term: state.term,
  };
  if (ctx.cfg.hasDisk && !state.diskFailed) {
    ctx.effects.push({type: 'append', entries: [entry]});
  }
  const appended = {...state, entries: [...state.entries, entry]};
  const next = changesVoterConfig(entry)
    ? {...appended, config: deriveVoterConfig(appended)}
    : appended;
  return advanceCommit(ctx, next);
}

/** Starts a new round: sends entries or a heartbeat to every member. */
export function broadcastAppend<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): LogCoreState<C> {
  const round = state.round + 1;
  const next: LogCoreState<C> = {
    ...state,
    round,
    roundTimes: [...state.roundTimes, {round, at: ctx.now}].slice(
      -MAX_ROUND_TIMES,
    ),
    heartbeatDeadline: ctx.now + ctx.cfg.heartbeatMs,
  };
  return sendAppendToAll(ctx, next, true);
}

/** Sends the next entries to every member. */
export function sendAppendToAll<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  force: boolean,
): LogCoreState<C> {
  const progress = Object.fromEntries(
    Object.entries(state.progress).map(([key, peer]) => [
      key,
      isInactive(state, peer.member)
        ? peer
        : sendAppend(ctx, state, peer, force),
    ]),
  );
  return {...state, progress};
}

/**
 * Whether a member gets no messages, because it never registered or because a
 * newer incarnation of it is replicated to.
 */
function isInactive<C>(state: LogCoreState<C>, member: MemberId): boolean {
  if (member.incarnation === ABSENT_INCARNATION) return true;
  const incarnation = state.registeredIncarnations[member.name];
  if (incarnation === undefined || incarnation === member.incarnation) {
    return false;
  }
  return getMemberKey({name: member.name, incarnation}) in state.progress;
}

/** Sends the next entries to a member, or a snapshot if they are compacted. */
export function sendAppend<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  peer: Progress,
  force: boolean,
): Progress {
  const {term, round, snapshot} = state;
  const needsSnapshot = peer.next <= snapshot.index;
  if (
    needsSnapshot &&
    ctx.now - peer.snapshotSentAt >= ctx.cfg.electionTimeoutMs
  ) {
    sendMessage(ctx, peer.member, {type: 'install', term, snapshot, round});
    return {...peer, snapshotSentAt: ctx.now};
  }
  const from = needsSnapshot ? snapshot.index + 1 : peer.next;
  const offset = from - snapshot.index - 1;
  const entries = needsSnapshot
    ? []
    : sliceEntries(state.entries, offset, ctx.cfg);
  if (entries.length === 0 && !force) return peer;
  sendMessage(ctx, peer.member, {
    type: 'append',
    term,
    prevIndex: from - 1,
    prevTerm: getTermAt(state, from - 1),
    entries,
    commit: state.commitIndex,
    round,
    ...(ctx.cfg.calmElectionTimeoutMs === undefined
      ? {}
      : {readsPromise: true}),
  });
  return needsSnapshot ? peer : {...peer, next: from + entries.length};
}

/** Returns the leader's own index that counts towards a commit. */
function getOwnMatch<C>(state: LogCoreState<C>, cfg: LogCoreConfig): number {
  return cfg.syncEverything ? state.syncedIndex : lastIndex(state);
}

/**
 * Commits the newest entry of the leader's term that a quorum has, and with it
 * all earlier entries.
 */
export function advanceCommit<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): LogCoreState<C> {
  const own = getOwnMatch(state, ctx.cfg);
  const getMatch = (member: MemberId) =>
    isSameMember(member, state.self)
      ? own
      : (state.progress[getMemberKey(member)]?.match ?? 0);
  const candidates = [
    own,
    ...Object.values(state.progress).map(peer => peer.match),
  ].filter(i => i > state.commitIndex && getTermAt(state, i) === state.term);
  candidates.sort((a, b) => b - a);
  const commitIndex = candidates.find(index =>
    hasQuorum(state.config, member => getMatch(member) >= index),
  );
  if (commitIndex === undefined) return state;
  return appendClosingEntry(ctx, applyCommittedChange({...state, commitIndex}));
}

/** Ends the joint voter configuration once the voter change is committed. */
function applyCommittedChange<C>(state: LogCoreState<C>): LogCoreState<C> {
  const {votersBeforeChange, changeIndex} = state.config;
  if (!votersBeforeChange || changeIndex > state.commitIndex) return state;
  const config = deriveVoterConfig(state);
  const progress = Object.fromEntries(
    Object.entries(state.progress).filter(
      ([key]) => !config.removedKeys.includes(key),
    ),
  );
  return {...state, config, progress};
}

/**
 * Appends the closing entry of a committed voter change. Without it a voter
 * that does not know of the commit would still need a majority of the old
 * voters, which may be lost together with the leader.
 */
function appendClosingEntry<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): LogCoreState<C> {
  const {votersBeforeChange, changeIndex, closingIndex} = state.config;
  const due =
    votersBeforeChange &&
    changeIndex <= state.commitIndex &&
    closingIndex === 0;
  if (!due) return state;
  const content = {commands: [], durable: false, closes: changeIndex};
  return sendAppendToAll(ctx, appendLeaderEntry(ctx, state, content), false);
}

/** Sends `timeout-now` to the transfer target once it has all entries. */
export function sendTimeoutNow<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): LogCoreState<C> {
  if (!state.transfer) return state;
  const target = state.progress[getMemberKey(state.transfer.to)];
  if (target && target.match === lastIndex(state)) {
    sendMessage(ctx, target.member, {
      type: 'timeout-now',
      term: state.term,
      earlierLeaseMs: Math.max(0, state.earlierLeaseUntil - ctx.now),
    });
  }
  return state;
}
