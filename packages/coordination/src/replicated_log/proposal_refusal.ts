/** Why a proposal is not accepted; it then has no effect. */
import type {LogCoreConfig, LogCoreState} from './core_state.js';
import {
  LogFailedError,
  NotLeaderError,
  NotProposedError,
} from './log_errors.js';
import {diskReachable} from './successors.js';

/** Reason to refuse a proposal in a state, or null. */
export function proposalRefusal<C>(
  state: LogCoreState<C>,
  durable: boolean,
  clock: {readonly now: number; readonly cfg: LogCoreConfig},
): Error | null {
  if (state.role !== 'leader') return new NotLeaderError(state.leader);
  if (state.transfer) {
    return new NotProposedError('leadership is being transferred');
  }
  if (durable && !diskReachable(state, clock)) {
    return new NotProposedError('no voter with a working disk is reachable');
  }
  return null;
}

/** Reason to refuse proposals to a log that has stopped. */
export function closedError(failure: Error | undefined): Error {
  return failure
    ? new LogFailedError('the log has failed', {cause: failure})
    : new NotProposedError('the log is closed');
}
