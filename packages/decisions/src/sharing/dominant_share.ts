/**
 * Dominant share of a resource vector (Ghodsi et al., Dominant Resource
 * Fairness, 2011).
 */
import {RESOURCE_NAMES, type Resources} from '@mustardferry/model';

/**
 * Largest fraction that `need` takes of any resource in `capacity`. Resources
 * without capacity are ignored.
 */
export function computeDominantShare(
  need: Resources,
  capacity: Resources,
): number {
  let share = 0;
  for (const name of RESOURCE_NAMES) {
    if (capacity[name] > 0)
      share = Math.max(share, need[name] / capacity[name]);
  }
  return share;
}
