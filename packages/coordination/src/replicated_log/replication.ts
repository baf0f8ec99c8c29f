/** The leader's side of replication: sending, commit rule, voter replacement. */
import {
  changesConfig,
  committedInTerm,
  configOf,
  hasQuorum,
  lastIndex,
  type LogCoreConfig,
  type LogCoreState,
  type Progress,
  termAt,
} from './core_state.js';
import {completeReads} from './leases.js';
import type {LogEntry, VoterReplacement} from './log_entries.js';
import type {AppendReply} from './log_messages.js';
import {
  ABSENT_INCARNATION,
  type MemberId,
  memberKey,
  sameMember,
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
  return memberKey({name: member.name, incarnation}) in state.progress;
}

function sendAppend<C>(
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
    prevTerm: termAt(state, from - 1),
    entries,
    commit: state.commitIndex,
    round,
  });
  return needsSnapshot ? peer : {...peer, next: from + entries.length};
}

/** Records a member's reply and continues with what it allows. */
export function receiveAppendReply<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  from: MemberId,
  message: AppendReply,
): LogCoreState<C> {
  const key = memberKey(from);
  const peer = state.progress[key];
  if (state.role !== 'leader' || message.term !== state.term || !peer) {
    return state;
  }
  const known = recordReply(state, peer, message);
  const updated = {...state, progress: {...state.progress, [key]: known}};
  const committed = advanceCommit(ctx, updated);
  const current = committed.progress[key];
  const sent = current
    ? {
        ...committed,
        progress: {
          ...committed.progress,
          [key]: sendAppend(ctx, committed, current, false),
        },
      }
    : committed;
  return completeReads(ctx, promoteLearner(ctx, requestTakeover(ctx, sent)));
}

function recordReply<C>(
  state: LogCoreState<C>,
  peer: Progress,
  message: AppendReply,
): Progress {
  const sentAt = state.roundTimes.find(time => time.round === message.round);
  const contact: Progress = {
    ...peer,
    disk: message.disk,
    ackedRound: Math.max(peer.ackedRound, message.round),
    ackedAt: Math.max(peer.ackedAt, sentAt?.at ?? Number.NEGATIVE_INFINITY),
  };
  if (!message.ok) {
    const next = Math.max(
      peer.match + 1,
      Math.min(peer.next, message.match + 1),
    );
    return {...contact, next};
  }
  const match = Math.max(peer.match, message.match);
  return {
    ...contact,
    match,
    next: Math.max(peer.next, match + 1),
    synced: Math.max(peer.synced, message.synced),
  };
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
    sameMember(member, state.self)
      ? own
      : (state.progress[memberKey(member)]?.match ?? 0);
  const candidates = [
    own,
    ...Object.values(state.progress).map(peer => peer.match),
  ].filter(i => i > state.commitIndex && termAt(state, i) === state.term);
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
  const target = state.progress[memberKey(state.transfer.to)];
  if (target && target.match === lastIndex(state)) {
    send(ctx, target.member, {type: 'timeout-now', term: state.term});
  }
  return state;
}

/** Whether a registered member without a vote may get one. */
export function hasPlaceFor<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  {name, incarnation}: MemberId,
): boolean {
  if (state.registered[name] !== incarnation) return false;
  const {targetVoters = 0} = ctx.cfg;
  return (
    state.config.voters.length < targetVoters ||
    replaceableVoter(ctx, state) !== undefined
  );
}

/** A voter that has been silent for so long that another may replace it. */
function replaceableVoter<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): MemberId | undefined {
  const limitMs = ctx.cfg.replaceSilentAfterMs;
  if (limitMs === undefined) return undefined;
  return state.config.voters.find(voter => {
    const ackedAt = state.progress[memberKey(voter)]?.ackedAt ?? -Infinity;
    const since = Math.max(ackedAt, state.leaderSince);
    return !sameMember(voter, state.self) && ctx.now - since > limitMs;
  });
}

/**
 * Gives a vote to a learner that holds all committed entries and is
 * registered: in the place of its own old incarnation or of a voter that is
 * silent, or beside the others while the group is to grow. One at a time: the
 * previous change must be complete.
 */
export function promoteLearner<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): LogCoreState<C> {
  if (!committedInTerm(state) || state.config.beforeRepair || state.transfer) {
    return state;
  }
  for (const {member, match, ackedAt} of Object.values(state.progress)) {
    const ready =
      state.registered[member.name] === member.incarnation &&
      match >= state.commitIndex &&
      ctx.now - ackedAt < ctx.cfg.electionTimeoutMs;
    const replacement = ready ? replacementBy(ctx, state, member) : null;
    if (!replacement) continue;
    const content = {commands: [], durable: false, replacement};
    return sendToAll(ctx, appendAsLeader(ctx, state, content), false);
  }
  return state;
}

/** How a member may get a vote; null if it has one or there is no place. */
function replacementBy<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  add: MemberId,
): VoterReplacement | null {
  const {voters} = state.config;
  const namesake = voters.find(voter => voter.name === add.name);
  if (namesake) {
    const isOther =
      !sameMember(namesake, add) && !sameMember(namesake, state.self);
    return isOther ? {remove: namesake, add} : null;
  }
  const {targetVoters = 0} = ctx.cfg;
  if (voters.length < targetVoters) return {remove: null, add};
  const remove = replaceableVoter(ctx, state);
  return remove ? {remove, add} : null;
}
