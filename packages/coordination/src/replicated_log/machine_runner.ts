/** Applies committed entries to the state machine and takes its snapshots. */
import {must} from '@mustardferry/model';

import {getEntryAt, hasRecovered, type LogCoreState} from './core_state.js';
import type {LogSnapshot} from './log_entries.js';
import type {FetchedLog} from './log_feed.js';
import type {LogSettings} from './log_options.js';
import {getMemberKey, isSameMember} from './members.js';
import type {StateMachine} from './state_machine.js';

/** A leader postpones a snapshot for lagging voters up to this many times. */
const POSTPONED_SNAPSHOT_FACTOR = 4;

/** Owns the applied index of one state machine. */
export class MachineRunner<C, R> {
  private readonly machine: StateMachine<C, R>;
  private applied = 0;
  private hasRecovered = false;

  constructor(machine: StateMachine<C, R>, snapshot: LogSnapshot) {
    this.machine = machine;
    if (snapshot.index > 0) this.restore(snapshot);
  }

  get appliedIndex(): number {
    return this.applied;
  }

  /** Whether this life applied all that was committed before it. */
  get recovered(): boolean {
    return this.hasRecovered;
  }

  /** Applies up to the commit index, from an installed snapshot if needed. */
  applyUpTo(
    state: LogCoreState<C>,
    onApplied: (index: number, results: readonly R[]) => void,
  ): void {
    if (state.snapshot.index > this.applied) this.restore(state.snapshot);
    while (this.applied < state.commitIndex) {
      const index = this.applied + 1;
      const entry = must(
        getEntryAt(state, index),
        `no entry ${index} to apply`,
      );
      const results = entry.commands.map(c => this.machine.apply(c, index));
      this.applied = index;
      onApplied(index, results);
    }
    this.hasRecovered ||= hasRecovered(state);
  }

  /**
   * Serializes the machine when enough entries were applied since the last
   * snapshot. A leader waits for voters that lag slightly, so that they don't
   * need a snapshot for the last few entries. None is taken while a voter
   * replacement is incomplete.
   */
  snapshotIfDue(
    state: LogCoreState<C>,
    settings: LogSettings,
  ): Uint8Array | null {
    const count = this.applied - state.snapshot.index;
    const every = settings.snapshotEveryEntries;
    if (count < every || state.config.beforeRepair) return null;
    const lags = state.config.voters.some(
      voter =>
        !isSameMember(voter, state.self) &&
        (state.progress[getMemberKey(voter)]?.match ?? 0) < this.applied,
    );
    const waits = state.role === 'leader' && lags;
    if (waits && count < every * POSTPONED_SNAPSHOT_FACTOR) return null;
    return this.machine.snapshot();
  }

  /** Committed entries after an index, or the state when they are gone. */
  fetch(
    state: LogCoreState<C>,
    afterIndex: number,
    maxEntries: number,
    confirmedMsAgo: number,
  ): FetchedLog<C> {
    const commitIndex = this.applied;
    const common = {confirmedMsAgo, commitIndex};
    const base = state.snapshot.index;
    if (afterIndex < base) {
      const data = this.machine.snapshot();
      return {...common, kind: 'snapshot', index: commitIndex, data};
    }
    const start = afterIndex - base;
    const end = Math.min(start + maxEntries, commitIndex - base);
    const entries = state.entries.slice(start, Math.max(start, end));
    return {...common, kind: 'entries', entries};
  }

  private restore(snapshot: LogSnapshot): void {
    this.machine.restore(snapshot.data);
    this.applied = snapshot.index;
  }
}
