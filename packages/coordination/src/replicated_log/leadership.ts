/** Notifies listeners when this member gains or loses leadership. */
import {committedInTerm, type LogCoreState} from './core_state.js';
import type {
  LeadershipCause,
  LeadershipChange,
  LeadershipListener,
} from './log_options.js';

/** Keeps the last change, so that listeners get each change only once. */
export class LeadershipNotifier {
  private readonly listeners = new Set<LeadershipListener>();
  private current: LeadershipChange = {
    leader: false,
    term: 0,
    cause: 'closed',
    earlierLeaseMs: 0,
  };

  add(listener: LeadershipListener): () => void {
    this.listeners.add(listener);
    if (this.current.leader) listener(this.current);
    return () => void this.listeners.delete(listener);
  }

  /** Notifies of what a step of the core has changed. */
  observe<C>(
    state: LogCoreState<C>,
    cause: LeadershipCause,
    now: number,
  ): void {
    this.update({
      leader: committedInTerm(state),
      term: state.term,
      cause,
      earlierLeaseMs: Math.max(0, state.earlierLeaseUntil - now),
    });
  }

  /** Notifies of the end of the member. */
  close(term: number, cause: LeadershipCause): void {
    this.update({leader: false, term, cause, earlierLeaseMs: 0});
  }

  /** A new term as leader is a loss and a gain. */
  private update(change: LeadershipChange): void {
    const {current} = this;
    const {leader, term} = change;
    if (leader === current.leader && (!leader || term === current.term)) return;
    if (leader && current.leader) this.notify({...change, leader: false});
    this.notify(change);
  }

  private notify(change: LeadershipChange): void {
    this.current = change;
    for (const listener of [...this.listeners]) listener(change);
  }
}
