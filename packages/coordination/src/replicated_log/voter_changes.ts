/** Changes of the voter set: who gets a vote, and in whose place. */
import {committedInTerm, type LogCoreState} from './core_state.js';
import type {VoterChange} from './log_entries.js';
import {getMemberKey, isSameMember, type MemberId} from './members.js';
import {appendAsLeader, sendToAll} from './replication.js';
import type {StepContext} from './step_context.js';

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
    const ackedAt = state.progress[getMemberKey(voter)]?.ackedAt ?? -Infinity;
    const since = Math.max(ackedAt, state.leaderSince);
    return !isSameMember(voter, state.self) && ctx.now - since > limitMs;
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
): VoterChange | null {
  const {voters} = state.config;
  const namesake = voters.find(voter => voter.name === add.name);
  if (namesake) {
    const isOther =
      !isSameMember(namesake, add) && !isSameMember(namesake, state.self);
    return isOther ? {remove: namesake, add} : null;
  }
  const {targetVoters = 0} = ctx.cfg;
  if (voters.length < targetVoters) return {remove: null, add};
  const remove = replaceableVoter(ctx, state);
  return remove ? {remove, add} : null;
}
