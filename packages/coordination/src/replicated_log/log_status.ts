/** Derives the public status of a member from the core's state. */
import {
  isVoter,
  lastIndex,
  type LogCoreConfig,
  type LogCoreState,
} from './core_state.js';
import {getQuorumAckTime, leaseUntil} from './leases.js';
import type {LogStatus} from './log_options.js';

/** Returns the status of a member at the given time. */
export function deriveStatus<C>(
  state: LogCoreState<C>,
  applied: {readonly appliedIndex: number; readonly recovered: boolean},
  clock: {readonly now: number; readonly cfg: LogCoreConfig},
): LogStatus {
  const {now} = clock;
  const leads = state.role === 'leader';
  const confirmedAt = leads
    ? getQuorumAckTime(state, now)
    : state.lastLeaderContactAt;
  const role = isVoter(state) ? state.role : 'learner';
  return {
    role: role === 'pre-candidate' ? 'candidate' : role,
    term: state.term,
    leader: state.leader,
    commitIndex: state.commitIndex,
    // Copied one by one, as a spread drops the getters of a class instance.
    appliedIndex: applied.appliedIndex,
    recovered: applied.recovered,
    lastIndex: lastIndex(state),
    voters: state.config.votersBeforeChange ?? state.config.voters,
    confirmedMsAgo: now - confirmedAt,
    leaseMs: Math.max(0, leaseUntil(state, clock) - now),
  };
}
