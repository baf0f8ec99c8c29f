/**
 * Weighted max-min allocation over several resources, after Dominant Resource
 * Fairness (Ghodsi et al., 2011), by progressive filling.
 */
import {RESOURCE_NAMES, type Resources} from '@mustardferry/model';

import {dominantShare} from '../sharing/dominant_share.js';

/** What one team asks for. */
export interface TeamDemand {
  readonly weight: number;
  readonly demand: Resources;
}

/** Bisection steps; the level is exact to 2^-24 of its range. */
const STEPS = 24;
const ROUNDS = RESOURCE_NAMES.length;

function fits(
  demands: readonly TeamDemand[],
  fractions: readonly number[],
  capacity: Resources,
): boolean {
  for (const name of RESOURCE_NAMES) {
    if (capacity[name] <= 0) continue;
    let sum = 0;
    for (const [index, {demand}] of demands.entries()) {
      sum += demand[name] * (fractions[index] ?? 0);
    }
    if (sum > capacity[name] * (1 + 1e-9)) return false;
  }
  return true;
}

/** Resources that are used up, whose users can't grow any further. */
function saturated(
  demands: readonly TeamDemand[],
  fractions: readonly number[],
  capacity: Resources,
): readonly (keyof Resources)[] {
  return RESOURCE_NAMES.filter(name => {
    if (capacity[name] <= 0) return false;
    let sum = 0;
    for (const [index, {demand}] of demands.entries()) {
      sum += demand[name] * (fractions[index] ?? 0);
    }
    return sum > capacity[name] * (1 - 1e-6);
  });
}

/** The part of its demand, 0 to 1, that each team gets. */
export function satisfiedFractions(
  demands: readonly TeamDemand[],
  capacity: Resources,
): readonly number[] {
  const shares = demands.map(({demand}) => dominantShare(demand, capacity));
  const frozen: (number | undefined)[] = demands.map(() => undefined);
  const at = (level: number): number[] =>
    demands.map(({weight}, index) => {
      const share = shares[index] ?? 0;
      const free = share > 0 ? Math.min(1, (level * weight) / share) : 1;
      return frozen[index] ?? free;
    });
  // The level at which every demand is met in full.
  const top = Math.max(
    0,
    ...demands.map(({weight}, index) => (shares[index] ?? 0) / weight),
  );
  if (fits(demands, at(top), capacity)) return at(top);
  let result = at(0);
  for (let round = 0; round < ROUNDS; round++) {
    let low = 0;
    let high = top;
    for (let step = 0; step < STEPS; step++) {
      const middle = (low + high) / 2;
      if (fits(demands, at(middle), capacity)) low = middle;
      else high = middle;
    }
    result = at(low);
    const full = saturated(demands, result, capacity);
    for (const [index, {demand}] of demands.entries()) {
      if (full.some(name => demand[name] > 0)) frozen[index] ??= result[index];
    }
    if (fits(demands, at(top), capacity)) return at(top);
  }
  return result;
}
