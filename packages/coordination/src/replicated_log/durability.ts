/** When a committed entry may be acknowledged to its proposer. */
import {
  getEntryAt,
  type LogCoreConfig,
  type LogCoreState,
} from './core_state.js';
import {getMemberKey} from './members.js';

/** Highest committed index that a voter's disk holds. */
export function getDurableIndex<C>(
  state: LogCoreState<C>,
  cfg: LogCoreConfig,
): number {
  if (cfg.syncEverything) return state.commitIndex;
  const own = cfg.hasDisk && !state.diskFailed ? state.syncedIndex : 0;
  const voters = state.config.voters.map(
    voter => state.progress[getMemberKey(voter)]?.synced ?? 0,
  );
  return Math.min(state.commitIndex, Math.max(own, ...voters));
}

/** Whether the entry at an index may be acknowledged to its proposer. */
export function canAcknowledge<C>(
  state: LogCoreState<C>,
  cfg: LogCoreConfig,
  index: number,
): boolean {
  if (index > state.commitIndex) return false;
  const entry = getEntryAt(state, index);
  return !entry?.durable || getDurableIndex(state, cfg) >= index;
}
