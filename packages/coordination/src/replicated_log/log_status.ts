/** Derives what callers see from the core's state. */
import {
  isVoter,
  lastIndex,
  type LogCoreConfig,
  type LogCoreState,
} from './core_state.js';
import {leaseUntil, quorumAckedAt} from './leases.js';
import type {LogStatus} from './log_options.js';

/** Status of a member at a time. */
export function statusOf<C>(
  state: LogCoreState<C>,
  applied: {readonly appliedIndex: number; readonly recovered: boolean},
  clock: {readonly now: number; readonly cfg: LogCoreConfig},
): LogStatus {
  const {now} = clock;
  const leads = state.role === 'leader';
  const confirmedAt = leads
    ? quorumAckedAt(state, now)
    : state.lastLeaderContactAt;
  const role = isVoter(state) ? state.role : 'learner';
  return {
    role: role === 'pre-candidate' ? 'candidate' : role,
    term: state.term,
    leader: state.leader,
    commitIndex: state.commitIndex,
    // Getters of a class instance are not copied by a spread.
    appliedIndex: applied.appliedIndex,
    recovered: applied.recovered,
    lastIndex: lastIndex(state),
    voters: state.config.votersBeforeChange ?? state.config.voters,
    confirmedMsAgo: now - confirmedAt,
    leaseMs: Math.max(0, leaseUntil(state, clock) - now),
  };
}
