/** Notifies listeners when this member gains or loses leadership. */
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
  };

  add(listener: LeadershipListener): () => void {
    this.listeners.add(listener);
    if (this.current.leader) listener(this.current);
    return () => void this.listeners.delete(listener);
  }

  /** Notifies of a change; a new term as leader is a loss and a gain. */
  update(leader: boolean, term: number, cause: LeadershipCause): void {
    const {current} = this;
    if (leader === current.leader && (!leader || term === current.term)) return;
    if (leader && current.leader) this.notify({leader: false, term, cause});
    this.notify({leader, term, cause});
  }

  private notify(change: LeadershipChange): void {
    this.current = change;
    for (const listener of [...this.listeners]) listener(change);
  }
}
