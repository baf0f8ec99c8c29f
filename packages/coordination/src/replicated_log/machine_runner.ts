/** Applies committed entries to the state machine and takes snapshots of it. */
import {must} from '@mustardferry/model';

import {getEntryAt, hasRecovered, type LogCoreState} from './core_state.js';
import {sliceEntries} from './entry_slices.js';
import type {LogSnapshot} from './log_entries.js';
import type {FetchedLog} from './log_feed.js';
import type {LogSettings} from './log_options.js';
import {getMemberKey, isSameMember} from './members.js';
import type {StateMachine} from './state_machine.js';

/** Snapshot intervals for which a leader waits for lagging voters. */
const MAX_SNAPSHOT_DELAY_FACTOR = 4;

/** Applies entries to one state machine and tracks its applied index. */
export class MachineRunner<C, R> {
  private readonly machine: StateMachine<C, R>;
  private lastApplied = 0;
  /** Approximate size of the entries applied since the last snapshot. */
  private bytesSinceSnapshot = 0;
  private recoveryComplete = false;

  constructor(machine: StateMachine<C, R>, snapshot: LogSnapshot) {
    this.machine = machine;
    if (snapshot.index > 0) this.restore(snapshot);
  }

  get appliedIndex(): number {
    return this.lastApplied;
  }

  /** Whether all entries committed before the start have been applied. */
  get recovered(): boolean {
    return this.recoveryComplete;
  }

  /** Applies all committed entries, starting from a newer snapshot if any. */
  applyCommitted(
    state: LogCoreState<C>,
    onApplied: (index: number, results: readonly R[]) => void,
  ): void {
    if (state.snapshot.index > this.lastApplied) this.restore(state.snapshot);
    while (this.lastApplied < state.commitIndex) {
      const index = this.lastApplied + 1;
      const entry = must(
        getEntryAt(state, index),
        `no entry ${index} to apply`,
      );
      const results = entry.commands.map(c => this.machine.apply(c, index));
      this.lastApplied = index;
      this.bytesSinceSnapshot += entry.bytes ?? 0;
      onApplied(index, results);
    }
    this.recoveryComplete ||= hasRecovered(state);
  }

  /**
   * Takes a snapshot if entries of enough number or size were applied since the
   * last one, as all of them are kept in memory until then. A leader waits for
   * voters that lag slightly, so that they do not need a snapshot for the last
   * few entries. No snapshot is taken while a voter change is incomplete.
   */
  takeSnapshotIfDue(
    state: LogCoreState<C>,
    settings: LogSettings,
  ): Uint8Array | null {
    const intervals = this.countSnapshotIntervals(state, settings);
    if (intervals < 1 || state.config.votersBeforeChange) return null;
    const hasLaggingVoter = state.config.voters.some(
      voter =>
        !isSameMember(voter, state.self) &&
        (state.progress[getMemberKey(voter)]?.match ?? 0) < this.lastApplied,
    );
    const isDelayed = state.role === 'leader' && hasLaggingVoter;
    if (isDelayed && intervals < MAX_SNAPSHOT_DELAY_FACTOR) return null;
    this.bytesSinceSnapshot = 0;
    return this.machine.snapshot();
  }

  /** Progress from the last snapshot to the next one, which is due at 1. */
  private countSnapshotIntervals(
    {snapshot}: LogCoreState<C>,
    {snapshotEveryEntries, snapshotEveryBytes}: LogSettings,
  ): number {
    const count = this.lastApplied - snapshot.index;
    const bytes = Math.max(snapshotEveryBytes, snapshot.data.byteLength);
    return Math.max(
      count / snapshotEveryEntries,
      this.bytesSinceSnapshot / bytes,
    );
  }

  /** Returns committed entries after an index, or a snapshot if compacted. */
  fetch(
    state: LogCoreState<C>,
    afterIndex: number,
    limits: Pick<LogSettings, 'maxEntriesPerMessage' | 'maxBytesPerMessage'>,
    confirmedMsAgo: number,
  ): FetchedLog<C> {
    const commitIndex = this.lastApplied;
    const common = {confirmedMsAgo, commitIndex};
    const snapshotIndex = state.snapshot.index;
    if (afterIndex < snapshotIndex) {
      const data = this.machine.snapshot();
      return {...common, kind: 'snapshot', index: commitIndex, data};
    }
    const committed = state.entries.slice(0, commitIndex - snapshotIndex);
    const start = afterIndex - snapshotIndex;
    const entries = sliceEntries(committed, start, limits);
    return {...common, kind: 'entries', entries};
  }

  private restore(snapshot: LogSnapshot): void {
    this.machine.restore(snapshot.data);
    this.lastApplied = snapshot.index;
    this.bytesSinceSnapshot = 0;
  }
}
