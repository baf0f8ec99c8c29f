/** Voter changes: which learner becomes a voter, and whom it replaces. */
import {committedInTerm, type LogCoreState} from './core_state.js';
import {appendLeaderEntry, sendAppendToAll} from './leader_replication.js';
import type {VoterChange} from './log_entries.js';
import {getMemberKey, isSameMember, type MemberId} from './members.js';
import type {StepContext} from './step_context.js';

/** Whether a registered member without a vote may become a voter. */
export function canBecomeVoter<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  {name, incarnation}: MemberId,
): boolean {
  if (state.registeredIncarnations[name] !== incarnation) return false;
  const {targetVoters = 0} = ctx.cfg;
  return (
    state.config.voters.length < targetVoters ||
    findReplaceableVoter(ctx, state) !== undefined
  );
}

/** Returns a voter that has not replied for so long that it may be replaced. */
function findReplaceableVoter<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): MemberId | undefined {
  const limitMs = ctx.cfg.replaceSilentAfterMs;
  if (limitMs === undefined) return undefined;
  return state.config.voters.find(voter => {
    const ackedAt = state.progress[getMemberKey(voter)]?.ackedAt ?? -Infinity;
    const since = Math.max(ackedAt, state.leaderSince);
    return !isSameMember(voter, state.self) && ctx.now - since > limitMs;
  });
}

/**
 * Makes a registered learner that has all committed entries a voter. It
 * replaces its own earlier incarnation or a silent voter, or is added while
 * there are fewer voters than `targetVoters`. Changes are made one at a time:
 * the previous one must be complete.
 */
export function promoteLearner<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
): LogCoreState<C> {
  if (
    !committedInTerm(state) ||
    state.config.votersBeforeChange ||
    state.transfer
  ) {
    return state;
  }
  for (const {member, match, ackedAt} of Object.values(state.progress)) {
    const ready =
      state.registeredIncarnations[member.name] === member.incarnation &&
      match >= state.commitIndex &&
      ctx.now - ackedAt < ctx.cfg.electionTimeoutMs;
    const replacement = ready ? planVoterChange(ctx, state, member) : null;
    if (!replacement) continue;
    const content = {commands: [], durable: false, replacement};
    return sendAppendToAll(ctx, appendLeaderEntry(ctx, state, content), false);
  }
  return state;
}

/** Returns the change that makes a member a voter, or null if there is none. */
function planVoterChange<C>(
  ctx: StepContext<C>,
  state: LogCoreState<C>,
  add: MemberId,
): VoterChange | null {
  const {voters} = state.config;
  const sameNameVoter = voters.find(voter => voter.name === add.name);
  if (sameNameVoter) {
    const isOtherIncarnation =
      !isSameMember(sameNameVoter, add) &&
      !isSameMember(sameNameVoter, state.self);
    return isOtherIncarnation ? {remove: sameNameVoter, add} : null;
  }
  const {targetVoters = 0} = ctx.cfg;
  if (voters.length < targetVoters) return {remove: null, add};
  const remove = findReplaceableVoter(ctx, state);
  return remove ? {remove, add} : null;
}
