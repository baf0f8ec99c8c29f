/** Counts how many submissions change their home when a data centre is added. */
import {computeHashSlot, findHashSlotDataCentre, HASH_SLOTS} from './home.js';

/** Fractions of the keys that moved, 0 to 1. */
export interface KeyMovement {
  readonly slots: number;
  readonly modulo: number;
}

/** Compares fixed slots with a plain hash modulo, over `keys` numbered keys. */
export function measureKeyMovement(
  before: readonly string[],
  after: readonly string[],
  keys: number,
): KeyMovement {
  let slots = 0;
  let modulo = 0;
  for (let index = 0; index < keys; index++) {
    const slot = computeHashSlot({
      team: 'team',
      idempotencyKey: `key-${index}`,
    });
    if (
      findHashSlotDataCentre(slot, before) !==
      findHashSlotDataCentre(slot, after)
    ) {
      slots++;
    }
    if (before[slot % before.length] !== after[slot % after.length]) modulo++;
  }
  return {slots: slots / keys, modulo: modulo / keys};
}

/** Fraction of the slots on each data centre, in the order of the list. */
export function measureHashSlotBalance(
  dataCentres: readonly string[],
): readonly number[] {
  const counts = new Map<string, number>();
  for (let slot = 0; slot < HASH_SLOTS; slot++) {
    const name = findHashSlotDataCentre(slot, dataCentres);
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return dataCentres.map(name => (counts.get(name) ?? 0) / HASH_SLOTS);
}
