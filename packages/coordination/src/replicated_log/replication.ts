/** The leader's side of replication: sending and the commit rule. */
import {
  changesConfig,
  configOf,
  getTermAt,
  hasQuorum,
  lastIndex,
  type LogCoreConfig,
  type LogCoreState,
  type Progress,
} from './core_state.js';
import type {LogEntry} from './log_entries.js';
import {
  ABSENT_INCARNATION,
  getMemberKey,
  isSameMember,
  type MemberId,
} from './members.js';
import {send, type StepContext} from './step_context.js';

/** Round times kept; older rounds count as never sent. */
const KEPT_ROUND_TIMES = 64;

/** Appends one entry to the leader's own log. */
export function appendAsLeader<C>(
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
  const next = changesConfig(entry)
    ? {...appended, config: configOf(appended)}
    : appended;
  return advanceCommit(ctx, next);
}

/** Starts a new round: sends to every member, an empty message if need be. */
export function broadcast<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): LogCoreState<C> {
  const round = state.round + 1;
  const next: LogCoreState<C> = {
    ...state,
    round,
    roundTimes: [...state.roundTimes, {round, at: ctx.now}].slice(
      -KEPT_ROUND_TIMES,
    ),
    heartbeatDue: ctx.now + ctx.cfg.heartbeatMs,
  };
  return sendToAll(ctx, next, true);
}

/** Sends outstanding entries to every member. */
export function sendToAll<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  force: boolean,
): LogCoreState<C> {
  const progress = Object.fromEntries(
    Object.entries(state.progress).map(([key, peer]) => [
      key,
      isGone(state, peer.member) ? peer : sendAppend(ctx, state, peer, force),
    ]),
  );
  return {...state, progress};
}

/** Whether a newer life of the member replicates, or none ever registered. */
function isGone<C>(state: LogCoreState<C>, member: MemberId): boolean {
  if (member.incarnation === ABSENT_INCARNATION) return true;
  const incarnation = state.registered[member.name];
  if (incarnation === undefined || incarnation === member.incarnation) {
    return false;
  }
  return getMemberKey({name: member.name, incarnation}) in state.progress;
}

/** Sends one member what it lacks. */
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
    send(ctx, peer.member, {type: 'install', term, snapshot, round});
    return {...peer, snapshotSentAt: ctx.now};
  }
  const from = needsSnapshot ? snapshot.index + 1 : peer.next;
  const offset = from - snapshot.index - 1;
  const entries = needsSnapshot
    ? []
    : state.entries.slice(offset, offset + ctx.cfg.maxEntriesPerMessage);
  if (entries.length === 0 && !force) return peer;
  send(ctx, peer.member, {
    type: 'append',
    term,
    prevIndex: from - 1,
    prevTerm: getTermAt(state, from - 1),
    entries,
    commit: state.commitIndex,
    round,
  });
  return needsSnapshot ? peer : {...peer, next: from + entries.length};
}

/** Own index that counts for commitment. */
function ownMatch<C>(state: LogCoreState<C>, cfg: LogCoreConfig): number {
  return cfg.syncEverything ? state.syncedIndex : lastIndex(state);
}

/**
 * Commits the newest entry of the leader's term that a quorum holds, and with
 * it everything before.
 */
export function advanceCommit<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): LogCoreState<C> {
  const own = ownMatch(state, ctx.cfg);
  const matchOf = (member: MemberId) =>
    isSameMember(member, state.self)
      ? own
      : (state.progress[getMemberKey(member)]?.match ?? 0);
  const candidates = [
    own,
    ...Object.values(state.progress).map(peer => peer.match),
  ].filter(i => i > state.commitIndex && getTermAt(state, i) === state.term);
  candidates.sort((a, b) => b - a);
  const commitIndex = candidates.find(index =>
    hasQuorum(state.config, member => matchOf(member) >= index),
  );
  if (commitIndex === undefined) return state;
  return closeReplacement(ctx, settleReplacement({...state, commitIndex}));
}

/** Ends a replacement once it is committed. */
function settleReplacement<C>(state: LogCoreState<C>): LogCoreState<C> {
  const {beforeRepair, changeIndex} = state.config;
  if (!beforeRepair || changeIndex > state.commitIndex) return state;
  const config = configOf(state);
  const progress = Object.fromEntries(
    Object.entries(state.progress).filter(
      ([key]) => !config.removed.includes(key),
    ),
  );
  return {...state, config, progress};
}

/**
 * Appends the closing entry of a committed replacement. Without it a voter
 * that did not learn of the commit would still need a majority of the old
 * voters, which may be lost together with the leader.
 */
function closeReplacement<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): LogCoreState<C> {
  const {beforeRepair, changeIndex, closeIndex} = state.config;
  const due =
    beforeRepair && changeIndex <= state.commitIndex && closeIndex === 0;
  if (!due) return state;
  const content = {commands: [], durable: false, closes: changeIndex};
  return sendToAll(ctx, appendAsLeader(ctx, state, content), false);
}

/** Asks the target of a leadership transfer to start once it has every entry. */
export function requestTakeover<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): LogCoreState<C> {
  if (!state.transfer) return state;
  const target = state.progress[getMemberKey(state.transfer.to)];
  if (target && target.match === lastIndex(state)) {
    send(ctx, target.member, {type: 'timeout-now', term: state.term});
  }
  return state;
}
