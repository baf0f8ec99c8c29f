/** Tells listeners about changes of this member's leadership. */
import type {
  LeadershipCause,
  LeadershipChange,
  LeadershipListener,
} from './log_options.js';

/** Remembers the last change, so that each is told once. */
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

  /** Reports the state; a new term of the same leader is a loss and a gain. */
  update(leader: boolean, term: number, cause: LeadershipCause): void {
    const {current} = this;
    if (leader === current.leader && (!leader || term === current.term)) return;
    if (leader && current.leader) this.tell({leader: false, term, cause});
    this.tell({leader, term, cause});
  }

  private tell(change: LeadershipChange): void {
    this.current = change;
    for (const listener of [...this.listeners]) listener(change);
  }
}
