/** Replica of the committed log on a non-voter. */
import type {LogEntry} from './log_entries.js';
import type {FetchedLog, LogFeed} from './log_feed.js';
import type {StateMachine} from './state_machine.js';

export interface LogFollowerOptions<C, R> {
  readonly machine: StateMachine<C, R>;
  /** Applied entries kept to serve other followers; 1,000 by default. */
  readonly maxKeptEntries?: number;
}

/**
 * Applies fetched entries in order and serves them to other followers. Unlike a
 * Raft follower it pulls the log instead of being sent it by the leader. Its
 * state never reverts to an earlier one.
 */
export class LogFollower<C, R> implements LogFeed<C> {
  private readonly machine: StateMachine<C, R>;
  private readonly maxKeptEntries: number;
  private keptEntries: readonly LogEntry<C>[] = [];
  private lastApplied = 0;
  private confirmedAt = Number.NEGATIVE_INFINITY;

  constructor(options: LogFollowerOptions<C, R>) {
    this.machine = options.machine;
    this.maxKeptEntries = options.maxKeptEntries ?? 1000;
  }

  /** Index of the last applied entry. */
  get appliedIndex(): number {
    return this.lastApplied;
  }

  /** Milliseconds since a leader was last known to be confirmed. */
  get confirmedMsAgo(): number {
    return performance.now() - this.confirmedAt;
  }

  /**
   * Applies fetched entries or a snapshot. Skips what is already applied and
   * applies nothing after a gap.
   *
   * @param fetchedAt When the request was sent, as of `performance.now`, so
   *     that the reply's time in transit counts towards the age.
   * @returns Whether the state advanced.
   */
  applyFetched(fetched: FetchedLog<C>, fetchedAt = performance.now()): boolean {
    const before = this.lastApplied;
    if (fetched.kind === 'snapshot') {
      this.restoreSnapshot(fetched.index, fetched.data);
    } else {
      for (const entry of fetched.entries) this.applyEntry(entry);
    }
    // While this state lags behind the source's, its age keeps growing.
    if (this.lastApplied >= fetched.commitIndex) {
      const confirmedAt = fetchedAt - fetched.confirmedMsAgo;
      this.confirmedAt = Math.max(this.confirmedAt, confirmedAt);
    }
    return this.lastApplied > before;
  }

  fetch(afterIndex: number, maxEntries: number): FetchedLog<C> {
    const {confirmedMsAgo, lastApplied: commitIndex} = this;
    const common = {confirmedMsAgo, commitIndex};
    const first = this.keptEntries[0]?.index ?? commitIndex + 1;
    if (afterIndex < first - 1) {
      const data = this.machine.snapshot();
      return {...common, kind: 'snapshot', index: commitIndex, data};
    }
    const start = afterIndex - first + 1;
    const entries = this.keptEntries.slice(start, start + maxEntries);
    return {...common, kind: 'entries', entries};
  }

  private applyEntry(entry: LogEntry<C>): void {
    if (entry.index !== this.lastApplied + 1) return;
    for (const command of entry.commands) {
      this.machine.apply(command, entry.index);
    }
    this.lastApplied = entry.index;
    this.keptEntries = [
      ...this.keptEntries.slice(1 - this.maxKeptEntries),
      entry,
    ];
  }

  private restoreSnapshot(index: number, data: Uint8Array): void {
    if (index <= this.lastApplied) return;
    this.machine.restore(data);
    this.lastApplied = index;
    this.keptEntries = [];
  }
}
