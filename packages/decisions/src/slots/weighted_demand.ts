/**
 * Weighted max-min allocation over several resources, after Dominant Resource
 * Fairness (Ghodsi et al., 2011), by progressive filling.
 */
import {
  NO_RESOURCES,
  RESOURCE_NAMES,
  type Resources,
} from '@mustardferry/model';

import {computeDominantShare} from '../sharing/dominant_share.js';

/** What one team asks for. */
export interface TeamDemand {
  readonly weight: number;
  readonly demand: Resources;
}

/** Mutable amounts by resource. */
type Amounts = Record<keyof Resources, number>;

/** A team while its allocation grows with the common level. */
interface Growing {
  readonly index: number;
  readonly demand: Resources;
  /** Level at which the demand is met in full. */
  readonly fullAt: number;
}

/** Room below which a resource counts as used up, as part of its capacity. */
const EPSILON = 1e-9;

function growthOf({demand, fullAt}: Growing, name: keyof Resources): number {
  return demand[name] / fullAt;
}

/** The level at which the first resource is used up; Infinity for none. */
function limitingLevel(
  room: Amounts,
  slope: Amounts,
  capacity: Resources,
): number {
  let level = Infinity;
  for (const name of RESOURCE_NAMES) {
    if (capacity[name] <= 0 || slope[name] <= EPSILON) continue;
    level = Math.min(level, Math.max(0, room[name]) / slope[name]);
  }
  return level;
}

/**
 * Raises the level until a resource is used up. `growing` is in the order of
 * `fullAt`; `used` holds what other teams use.
 */
function fillLevel(
  growing: readonly Growing[],
  used: Amounts,
  capacity: Resources,
): number {
  const room = {...NO_RESOURCES} as Amounts;
  const slope = {...NO_RESOURCES} as Amounts;
  for (const name of RESOURCE_NAMES) {
    room[name] = capacity[name] - used[name];
    for (const team of growing) slope[name] += growthOf(team, name);
  }
  for (const team of growing) {
    const level = limitingLevel(room, slope, capacity);
    if (level < team.fullAt) return level;
    for (const name of RESOURCE_NAMES) {
      room[name] -= team.demand[name];
      slope[name] -= growthOf(team, name);
    }
  }
  return Infinity;
}

function usedUp(
  used: Amounts,
  capacity: Resources,
): readonly (keyof Resources)[] {
  return RESOURCE_NAMES.filter(
    name =>
      capacity[name] > 0 &&
      used[name] >= capacity[name] * (1 - 1_000 * EPSILON),
  );
}

function addScaled(target: Amounts, amounts: Resources, factor: number): void {
  for (const name of RESOURCE_NAMES) target[name] += amounts[name] * factor;
}

/** The part of its demand, 0 to 1, that each team gets. */
export function satisfiedFractions(
  demands: readonly TeamDemand[],
  capacity: Resources,
): readonly number[] {
  const fractions = demands.map(() => 1);
  const used = {...NO_RESOURCES} as Amounts;
  let growing: readonly Growing[] = demands
    .map(({weight, demand}, index) => {
      const fullAt = computeDominantShare(demand, capacity) / weight;
      return {index, demand, fullAt};
    })
    .filter(({fullAt}) => fullAt > 0)
    .sort((a, b) => a.fullAt - b.fullAt);
  // Each round uses up a resource; the teams without need of it grow on.
  for (let round = 0; round < RESOURCE_NAMES.length; round++) {
    const level = fillLevel(growing, used, capacity);
    if (level === Infinity) break;
    const total = {...used};
    for (const {index, demand, fullAt} of growing) {
      fractions[index] = Math.min(1, level / fullAt);
      addScaled(total, demand, fractions[index] ?? 0);
    }
    const full = usedUp(total, capacity);
    const isStopped = ({demand}: Growing) =>
      full.some(name => demand[name] > 0);
    for (const team of growing.filter(isStopped)) {
      addScaled(used, team.demand, fractions[team.index] ?? 0);
    }
    growing = growing.filter(team => !isStopped(team));
    for (const {index} of growing) fractions[index] = 1;
  }
  return fractions;
}
