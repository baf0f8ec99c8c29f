/** The follower's side of replication: appending, conflicts, snapshots. */
import {InvariantError} from '@mustardferry/model';

import {
  changesConfig,
  configOf,
  electionDeadline,
  getTermAt,
  lastIndex,
  type LogCoreState,
} from './core_state.js';
import {becomeFollower} from './elections.js';
import type {LogEntry} from './log_entries.js';
import type {AppendMessage, InstallSnapshotMessage} from './log_messages.js';
import type {MemberId} from './members.js';
import {send, type StepContext} from './step_context.js';

/** Handles entries or a heartbeat of a leader. */
export function receiveAppend<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  from: MemberId,
  message: AppendMessage<C>,
): LogCoreState<C> {
  if (message.term < state.term) return refuse(ctx, state, from, 0, 0);
  const current = hearLeader(ctx, state, from, message);
  const {index: base} = current.snapshot;
  const last = lastIndex(current);
  const {prevIndex, prevTerm, round} = message;
  if (prevIndex > last) return refuse(ctx, current, from, last, round);
  if (prevIndex >= base && getTermAt(current, prevIndex) !== prevTerm) {
    const hint = beforeConflict(current, prevIndex);
    return refuse(ctx, current, from, hint, round);
  }
  const entries = message.entries.filter(entry => entry.index > base);
  const next = appendAsFollower(ctx, current, entries);
  const matchedIndex = Math.max(
    next.matchedIndex,
    prevIndex + message.entries.length,
  );
  const matched = {...next, matchedIndex};
  const commitIndex = Math.max(
    matched.commitIndex,
    Math.min(message.commit, matchedIndex),
  );
  const committed = withCommit(matched, commitIndex);
  acknowledge(ctx, committed, from);
  return committed;
}

/** Replaces the log up to a snapshot of the leader. */
export function receiveInstall<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  from: MemberId,
  message: InstallSnapshotMessage,
): LogCoreState<C> {
  if (message.term < state.term) return refuse(ctx, state, from, 0, 0);
  const current = hearLeader(ctx, state, from, message);
  const {snapshot} = message;
  if (snapshot.index <= current.commitIndex) {
    acknowledge(ctx, current, from);
    return current;
  }
  const keepSuffix = getTermAt(current, snapshot.index) === snapshot.term;
  const entries = keepSuffix
    ? current.entries.slice(snapshot.index - current.snapshot.index)
    : [];
  if (ctx.cfg.hasDisk && !current.diskFailed) {
    ctx.effects.push({type: 'save-snapshot', snapshot, keepSuffix});
  }
  const installed: LogCoreState<C> = {
    ...current,
    snapshot,
    entries,
    commitIndex: snapshot.index,
    matchedIndex: Math.max(current.matchedIndex, snapshot.index),
    syncedIndex: keepSuffix ? current.syncedIndex : 0,
  };
  const next = {...installed, config: configOf(installed)};
  acknowledge(ctx, next, from);
  return next;
}

/** Tells the leader what this member holds. */
export function acknowledge<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  leader: MemberId,
): void {
  const {matchedIndex, syncedIndex} = state;
  const disk = ctx.cfg.hasDisk && !state.diskFailed;
  const synced = Math.min(matchedIndex, syncedIndex);
  send(ctx, leader, {
    type: 'append-reply',
    term: state.term,
    ok: true,
    match: ctx.cfg.syncEverything ? synced : matchedIndex,
    synced: disk ? synced : 0,
    disk,
    round: state.heardRound,
  });
}

function hearLeader<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  from: MemberId,
  message: {readonly term: number; readonly round: number},
): LogCoreState<C> {
  const current =
    message.term > state.term || state.role !== 'follower'
      ? becomeFollower(ctx, state, message.term, from)
      : state;
  return {
    ...current,
    leader: from,
    heardAt: ctx.now,
    heardRound: Math.max(current.heardRound, message.round),
    electionDeadline: electionDeadline(ctx, ctx.cfg),
  };
}

function refuse<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  to: MemberId,
  hint: number,
  round: number,
): LogCoreState<C> {
  send(ctx, to, {
    type: 'append-reply',
    term: state.term,
    ok: false,
    match: hint,
    synced: 0,
    disk: ctx.cfg.hasDisk && !state.diskFailed,
    round,
  });
  return state;
}

/** Index before all entries of the conflicting term, to skip them at once. */
function beforeConflict<C>(state: LogCoreState<C>, index: number): number {
  const term = getTermAt(state, index);
  let hint = index - 1;
  while (hint > state.commitIndex && getTermAt(state, hint) === term) hint--;
  return hint;
}

function appendAsFollower<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  entries: readonly LogEntry<C>[],
): LogCoreState<C> {
  const first = entries.findIndex(e => getTermAt(state, e.index) !== e.term);
  const fresh = first < 0 ? [] : entries.slice(first);
  const from = fresh[0]?.index;
  if (from === undefined) return state;
  const conflict = from <= lastIndex(state);
  if (from <= state.commitIndex) {
    throw new InvariantError(`entry ${from} conflicts with a committed one`);
  }
  if (ctx.cfg.hasDisk && !state.diskFailed) {
    if (conflict) ctx.effects.push({type: 'truncate', fromIndex: from});
    ctx.effects.push({type: 'append', entries: fresh});
  }
  const kept = state.entries.slice(0, from - state.snapshot.index - 1);
  const next: LogCoreState<C> = {
    ...state,
    entries: [...kept, ...fresh],
    syncedIndex: Math.min(state.syncedIndex, from - 1),
  };
  const changed = conflict || fresh.some(changesConfig);
  return changed ? {...next, config: configOf(next)} : next;
}

function withCommit<C>(
  state: LogCoreState<C>,
  commitIndex: number,
): LogCoreState<C> {
  if (commitIndex === state.commitIndex) return state;
  const next = {...state, commitIndex};
  return next.config.beforeRepair ? {...next, config: configOf(next)} : next;
}
