/** Applies a log that a non-voter pulls, and passes it on. */
import type {LogEntry} from './log_entries.js';
import type {FetchedLog, LogFeed} from './log_feed.js';
import type {StateMachine} from './state_machine.js';

/** Options of a follower. */
export interface LogFollowerOptions<C, R> {
  readonly machine: StateMachine<C, R>;
  /** Applied entries kept for others that pull from here; 1,000 by default. */
  readonly maxKeptEntries?: number;
}

/** Applies fetched entries in order; never goes back to an earlier state. */
export class LogFollower<C, R> implements LogFeed<C> {
  private readonly machine: StateMachine<C, R>;
  private readonly keptEntries: number;
  private kept: readonly LogEntry<C>[] = [];
  private applied = 0;
  private confirmedAt = Number.NEGATIVE_INFINITY;

  constructor(options: LogFollowerOptions<C, R>) {
    this.machine = options.machine;
    this.keptEntries = options.maxKeptEntries ?? 1000;
  }

  /** Index of the last applied entry. */
  get appliedIndex(): number {
    return this.applied;
  }

  /** Age in milliseconds of the leader's last known confirmation. */
  get confirmedMsAgo(): number {
    return performance.now() - this.confirmedAt;
  }

  /**
   * Applies what was fetched. Entries and snapshots that are already covered
   * are skipped, and nothing is applied across a gap.
   *
   * @param fetchedAt When the request was sent, on the `performance.now`
   *     clock, so that the answer's time in transit counts towards the age.
   * @returns Whether the state advanced.
   */
  applyFetched(fetched: FetchedLog<C>, fetchedAt = performance.now()): boolean {
    const before = this.applied;
    if (fetched.kind === 'snapshot') {
      this.restore(fetched.index, fetched.data);
    } else {
      for (const entry of fetched.entries) this.apply(entry);
    }
    // A state that lags behind the sender's is as old as its last update.
    if (this.applied >= fetched.commitIndex) {
      const confirmedAt = fetchedAt - fetched.confirmedMsAgo;
      this.confirmedAt = Math.max(this.confirmedAt, confirmedAt);
    }
    return this.applied > before;
  }

  fetch(afterIndex: number, maxEntries: number): FetchedLog<C> {
    const {confirmedMsAgo, applied: commitIndex} = this;
    const common = {confirmedMsAgo, commitIndex};
    const first = this.kept[0]?.index ?? commitIndex + 1;
    if (afterIndex < first - 1) {
      const data = this.machine.snapshot();
      return {...common, kind: 'snapshot', index: commitIndex, data};
    }
    const start = afterIndex - first + 1;
    const entries = this.kept.slice(start, start + maxEntries);
    return {...common, kind: 'entries', entries};
  }

  private apply(entry: LogEntry<C>): void {
    if (entry.index !== this.applied + 1) return;
    for (const command of entry.commands) {
      this.machine.apply(command, entry.index);
    }
    this.applied = entry.index;
    this.kept = [...this.kept.slice(1 - this.keptEntries), entry];
  }

  private restore(index: number, data: Uint8Array): void {
    if (index <= this.applied) return;
    this.machine.restore(data);
    this.applied = index;
    this.kept = [];
  }
}
