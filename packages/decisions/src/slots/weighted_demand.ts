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

/** Weight and demand of one team. */
export interface TeamDemand {
  readonly weight: number;
  readonly demand: Resources;
}

/** Mutable amounts by resource. */
type Amounts = Record<keyof Resources, number>;

/** A team whose allocation still grows with the common level. */
interface GrowingTeam {
  readonly index: number;
  readonly demand: Resources;
  /** Level at which the demand is met in full. */
  readonly satisfiedAt: number;
}

/** Tolerance for rounding errors, as a fraction of the capacity. */
const EPSILON = 1e-9;

function computeGrowth(
  {demand, satisfiedAt}: GrowingTeam,
  name: keyof Resources,
): number {
  return demand[name] / satisfiedAt;
}

/** Level at which the first resource is exhausted; Infinity for none. */
function findLimitingLevel(
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
 * Raises the level until a resource is exhausted. `growing` is in the order of
 * `satisfiedAt`; `used` is the usage of teams that no longer grow.
 */
function findFillLevel(
  growing: readonly GrowingTeam[],
  used: Amounts,
  capacity: Resources,
): number {
  const room = {...NO_RESOURCES} as Amounts;
  const slope = {...NO_RESOURCES} as Amounts;
  for (const name of RESOURCE_NAMES) {
    room[name] = capacity[name] - used[name];
    for (const team of growing) slope[name] += computeGrowth(team, name);
  }
  for (const team of growing) {
    const level = findLimitingLevel(room, slope, capacity);
    if (level < team.satisfiedAt) return level;
    for (const name of RESOURCE_NAMES) {
      room[name] -= team.demand[name];
      slope[name] -= computeGrowth(team, name);
    }
  }
  return Infinity;
}

function listExhausted(
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

/** Fraction of its demand, 0 to 1, that each team gets. */
export function computeSatisfiedFractions(
  demands: readonly TeamDemand[],
  capacity: Resources,
): readonly number[] {
  const fractions = demands.map(() => 1);
  const used = {...NO_RESOURCES} as Amounts;
  let growing: readonly GrowingTeam[] = demands
    .map(({weight, demand}, index) => {
      const satisfiedAt = computeDominantShare(demand, capacity) / weight;
      return {index, demand, satisfiedAt};
    })
    .filter(({satisfiedAt}) => satisfiedAt > 0)
    .sort((a, b) => a.satisfiedAt - b.satisfiedAt);
  // Each round exhausts a resource; teams that don't need it keep growing.
  for (let round = 0; round < RESOURCE_NAMES.length; round++) {
    const level = findFillLevel(growing, used, capacity);
    if (level === Infinity) break;
    const total = {...used};
    for (const {index, demand, satisfiedAt} of growing) {
      fractions[index] = Math.min(1, level / satisfiedAt);
      addScaled(total, demand, fractions[index] ?? 0);
    }
    const full = listExhausted(total, capacity);
    const isLimited = ({demand}: GrowingTeam) =>
      full.some(name => demand[name] > 0);
    for (const team of growing.filter(isLimited)) {
      addScaled(used, team.demand, fractions[team.index] ?? 0);
    }
    growing = growing.filter(team => !isLimited(team));
    for (const {index} of growing) fractions[index] = 1;
  }
  return fractions;
}
