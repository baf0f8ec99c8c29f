/** Remembers why this member's role in the log changed. */
import type {LogEvent} from './core_events.js';
import type {LogCoreState} from './core_state.js';
import type {Election, ElectionCause, LeadershipCause} from './log_options.js';

/** Follows the steps of one member. */
export class RoleChanges {
  private last: LeadershipCause = 'closed';

  constructor(private readonly onElection: (election: Election) => void) {}

  /** Cause of the last change between following, standing and leading. */
  get cause(): LeadershipCause {
    return this.last;
  }

  /** Takes one step. */
  stepped<C>(
    event: LogEvent<C>,
    before: LogCoreState<C>,
    after: LogCoreState<C>,
  ): void {
    if (before.role === after.role) return;
    if (before.role === 'leader') {
      this.last = lossCause(event, before);
    } else if (before.role === 'follower') {
      const cause = electionCause(event);
      this.last = cause;
      this.onElection({term: before.term + 1, cause});
    }
  }
}

function lossCause<C>(
  {type}: LogEvent<C>,
  {leaseRevoked: leaseVoid}: LogCoreState<C>,
): LeadershipCause {
  if (type === 'tick') return 'no-quorum';
  return leaseVoid ? 'transfer' : 'higher-term';
}

function electionCause<C>({type}: LogEvent<C>): ElectionCause {
  if (type === 'tick') return 'leader-silent';
  return type === 'peer-lost' ? 'leader-lost' : 'transfer';
}
