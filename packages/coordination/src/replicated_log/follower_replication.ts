/** Follower's side of replication: appends, conflicts and snapshots. */
import {InvariantError} from '@mustardferry/model';

import {getTermAt, lastIndex, type LogCoreState} from './core_state.js';
import {becomeFollower} from './elections.js';
import {getRemainingPromiseMs, observeLeader} from './leader_contact.js';
import type {LogEntry} from './log_entries.js';
import type {AppendMessage, InstallSnapshotMessage} from './log_messages.js';
import type {MemberId} from './members.js';
import {sendMessage, type StepContext} from './step_context.js';
import {changesVoterConfig, deriveVoterConfig} from './voter_config.js';

/** Handles entries or a heartbeat from a leader. */
export function handleAppend<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  from: MemberId,
  message: AppendMessage<C>,
): LogCoreState<C> {
  if (message.term < state.term) return rejectAppend(ctx, state, from, 0, 0);
  const current = recordLeaderContact(ctx, state, from, message);
  const {index: snapshotIndex} = current.snapshot;
  const last = lastIndex(current);
  const {prevIndex, prevTerm, round} = message;
  if (prevIndex > last) return rejectAppend(ctx, current, from, last, round);
  if (
    prevIndex >= snapshotIndex &&
    getTermAt(current, prevIndex) !== prevTerm
  ) {
    const hint = findConflictHint(current, prevIndex);
    return rejectAppend(ctx, current, from, hint, round);
  }
  const entries = message.entries.filter(entry => entry.index > snapshotIndex);
  const next = appendFollowerEntries(ctx, current, entries);
  const matchedIndex = Math.max(
    next.matchedIndex,
    prevIndex + message.entries.length,
  );
  const matched = {...next, matchedIndex};
  const commitIndex = Math.max(
    matched.commitIndex,
    Math.min(message.commit, matchedIndex),
  );
  const committed = setCommitIndex(matched, commitIndex);
  acknowledgeAppend(ctx, committed, from);
  return committed;
}

/** Replaces the log up to the index of the leader's snapshot. */
export function handleInstallSnapshot<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  from: MemberId,
  message: InstallSnapshotMessage,
): LogCoreState<C> {
  if (message.term < state.term) return rejectAppend(ctx, state, from, 0, 0);
  const current = recordLeaderContact(ctx, state, from, message);
  const {snapshot} = message;
  if (snapshot.index <= current.commitIndex) {
    acknowledgeAppend(ctx, current, from);
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
  const next = {...installed, config: deriveVoterConfig(installed)};
  acknowledgeAppend(ctx, next, from);
  return next;
}

/** Reports to the leader how far this member's log matches and is synced. */
export function acknowledgeAppend<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  leader: MemberId,
): void {
  const {matchedIndex, syncedIndex} = state;
  const disk = ctx.cfg.hasDisk && !state.diskFailed;
  const synced = Math.min(matchedIndex, syncedIndex);
  sendMessage(ctx, leader, {
    type: 'append-reply',
    term: state.term,
    ok: true,
    match: ctx.cfg.syncEverything ? synced : matchedIndex,
    synced: disk ? synced : 0,
    disk,
    round: state.lastLeaderRound,
    promisedMs: getRemainingPromiseMs(state, ctx.now),
  });
}

function recordLeaderContact<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  from: MemberId,
  message: AppendMessage<C> | InstallSnapshotMessage,
): LogCoreState<C> {
  const current =
    message.term > state.term || state.role !== 'follower'
      ? becomeFollower(ctx, state, message.term, from)
      : state;
  return {
    ...current,
    leader: from,
    lastLeaderRound: Math.max(current.lastLeaderRound, message.round),
    ...observeLeader(ctx, state, from, message),
  };
}

function rejectAppend<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  to: MemberId,
  hint: number,
  round: number,
): LogCoreState<C> {
  sendMessage(ctx, to, {
    type: 'append-reply',
    term: state.term,
    ok: false,
    match: hint,
    synced: 0,
    disk: ctx.cfg.hasDisk && !state.diskFailed,
    round,
    promisedMs: getRemainingPromiseMs(state, ctx.now),
  });
  return state;
}

/**
 * Returns the index before the uncommitted entries of the conflicting term, so
 * that the leader skips them all at once.
 */
function findConflictHint<C>(state: LogCoreState<C>, index: number): number {
  const term = getTermAt(state, index);
  let hint = index - 1;
  while (hint > state.commitIndex && getTermAt(state, hint) === term) hint--;
  return hint;
}

function appendFollowerEntries<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  entries: readonly LogEntry<C>[],
): LogCoreState<C> {
  const first = entries.findIndex(e => getTermAt(state, e.index) !== e.term);
  const newEntries = first < 0 ? [] : entries.slice(first);
  const from = newEntries[0]?.index;
  if (from === undefined) return state;
  const conflict = from <= lastIndex(state);
  if (from <= state.commitIndex) {
    throw new InvariantError(`entry ${from} conflicts with a committed one`);
  }
  if (ctx.cfg.hasDisk && !state.diskFailed) {
    if (conflict) ctx.effects.push({type: 'truncate', fromIndex: from});
    ctx.effects.push({type: 'append', entries: newEntries});
  }
  const kept = state.entries.slice(0, from - state.snapshot.index - 1);
  const next: LogCoreState<C> = {
    ...state,
    entries: [...kept, ...newEntries],
    syncedIndex: Math.min(state.syncedIndex, from - 1),
  };
  const changed = conflict || newEntries.some(changesVoterConfig);
  return changed ? {...next, config: deriveVoterConfig(next)} : next;
}

function setCommitIndex<C>(
  state: LogCoreState<C>,
  commitIndex: number,
): LogCoreState<C> {
  if (commitIndex === state.commitIndex) return state;
  const next = {...state, commitIndex};
  return next.config.votersBeforeChange
    ? {...next, config: deriveVoterConfig(next)}
    : next;
}
