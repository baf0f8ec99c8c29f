/** Tracks the causes of elections and of leadership changes. */
import type {LogEvent} from './core_events.js';
import type {LogCoreState} from './core_state.js';
import type {Election, ElectionCause, LeadershipCause} from './log_options.js';

/** Derives the causes of role changes from the steps of one member. */
export class RoleChangeTracker {
  private lastCause: LeadershipCause = 'closed';

  constructor(private readonly onElection: (election: Election) => void) {}

  /** Cause of the last election or loss of leadership. */
  get cause(): LeadershipCause {
    return this.lastCause;
  }

  /** Records the role change of a step, if there is one. */
  recordStep<C>(
    event: LogEvent<C>,
    before: LogCoreState<C>,
    after: LogCoreState<C>,
  ): void {
    if (before.role === after.role) return;
    if (before.role === 'leader') {
      this.lastCause = getLossCause(event, before);
    } else if (before.role === 'follower') {
      const cause = getElectionCause(event);
      this.lastCause = cause;
      this.onElection({term: before.term + 1, cause});
    }
  }
}

function getLossCause<C>(
  {type}: LogEvent<C>,
  {leaseRevoked}: LogCoreState<C>,
): LeadershipCause {
  if (type === 'tick') return 'no-quorum';
  return leaseRevoked ? 'transfer' : 'higher-term';
}

function getElectionCause<C>({type}: LogEvent<C>): ElectionCause {
  if (type === 'tick') return 'leader-silent';
  return type === 'peer-lost' ? 'leader-lost' : 'transfer';
}
