/** Decides which proposals are refused. A refused proposal has no effect. */
import type {LogCoreConfig, LogCoreState} from './core_state.js';
import {
  LogFailedError,
  NotLeaderError,
  NotProposedError,
} from './log_errors.js';
import {isDiskReachable} from './successors.js';

/** Returns the error for a refused proposal, or null if it is accepted. */
export function findProposalRefusal<C>(
  state: LogCoreState<C>,
  durable: boolean,
  clock: {readonly now: number; readonly cfg: LogCoreConfig},
): Error | null {
  if (state.role !== 'leader') return new NotLeaderError(state.leader);
  if (state.transfer) {
    return new NotProposedError('leadership is being transferred');
  }
  if (durable && !isDiskReachable(state, clock)) {
    return new NotProposedError('no voter with a working disk is reachable');
  }
  return null;
}

/** Creates the error for proposals to a log that is closed or has failed. */
export function createClosedError(failure: Error | undefined): Error {
  return failure
    ? new LogFailedError('the log has failed', {cause: failure})
    : new NotProposedError('the log is closed');
}
