/** Computes how many credits each instance should hold. */
import {RESOURCE_NAMES, type Resources} from '@mustardferry/model';

import type {Entitlement} from '../sharing/sharing_policy.js';
import type {AllocatorTeam, InstanceDemand} from './slot_types.js';
import {computeSatisfiedFractions} from './weighted_demand.js';

/** Number of credits that one instance should hold. */
export interface SlotTarget {
  readonly instance: string;
  /** Credits for its demand, before rounding. */
  readonly demanded: number;
  /** All credits; the sum over the instances is the number of slots. */
  readonly target: number;
  readonly entitlements: readonly Entitlement[];
}

/** Weight of a team that the policy doesn't know. */
const UNKNOWN_TEAM_WEIGHT = 1e-4;

interface TeamTotal {
  readonly weight: number;
  /** Total demand, bounded by the quota. */
  readonly demand: Resources;
  /** Fraction of the reported demand that the quota admits. */
  readonly withinQuota: number;
}

function sumDemands(
  instances: readonly InstanceDemand[],
): ReadonlyMap<string, Record<keyof Resources, number>> {
  const totals = new Map<string, Record<keyof Resources, number>>();
  for (const {teams} of instances) {
    for (const {team, demand} of teams) {
      const total = totals.get(team);
      if (!total) totals.set(team, {...demand});
      else for (const name of RESOURCE_NAMES) total[name] += demand[name];
    }
  }
  return totals;
}

function scaleResources(resources: Resources, factor: number): Resources {
  return {
    slots: resources.slots * factor,
    processors: resources.processors * factor,
    memoryMb: resources.memoryMb * factor,
    accelerators: resources.accelerators * factor,
  };
}

function boundByQuota(
  demand: Resources,
  policy: AllocatorTeam | undefined,
): TeamTotal {
  const weight = Math.max(UNKNOWN_TEAM_WEIGHT, policy?.weight ?? 0);
  let withinQuota = 1;
  for (const name of RESOURCE_NAMES) {
    if (!policy || demand[name] <= policy.quota[name]) continue;
    withinQuota = Math.min(withinQuota, policy.quota[name] / demand[name]);
  }
  return {weight, demand: scaleResources(demand, withinQuota), withinQuota};
}

/** Fraction of its reported demand that each team gets. */
function computeTeamFractions(
  instances: readonly InstanceDemand[],
  teams: ReadonlyMap<string, AllocatorTeam>,
  capacity: Resources,
): ReadonlyMap<string, number> {
  const names: string[] = [];
  const totals: TeamTotal[] = [];
  for (const [team, demand] of sumDemands(instances)) {
    names.push(team);
    totals.push(boundByQuota(demand, teams.get(team)));
  }
  const fractions = computeSatisfiedFractions(totals, capacity);
  return new Map(
    names.map((name, index) => {
      const withinQuota = totals[index]?.withinQuota ?? 0;
      return [name, (fractions[index] ?? 0) * withinQuota];
    }),
  );
}

/** Rounds to whole numbers with the given sum, by largest remainder. */
export function roundToSum(
  values: readonly number[],
  sum: number,
): readonly number[] {
  const rounded = values.map(value => Math.floor(value + 1e-9));
  let rest = sum - rounded.reduce((total, value) => total + value, 0);
  const order = values
    .map((value, index) => ({index, part: value - (rounded[index] ?? 0)}))
    .sort((a, b) => b.part - a.part || a.index - b.index);
  for (const {index} of order) {
    if (rest <= 0) break;
    rounded[index] = (rounded[index] ?? 0) + 1;
    rest--;
  }
  return rounded;
}

/** Targets by weighted fair demand; idle slots are spread by weight. */
export function computeSlotTargets(
  instances: readonly InstanceDemand[],
  teams: ReadonlyMap<string, AllocatorTeam>,
  capacity: Resources,
): readonly SlotTarget[] {
  const fractions = computeTeamFractions(instances, teams, capacity);
  const entitlements = instances.map(instance =>
    instance.teams
      .map(({team, demand}) => ({
        team,
        slots: demand.slots * (fractions.get(team) ?? 0),
      }))
      .filter(({slots}) => slots > 0),
  );
  const demanded = entitlements.map(list =>
    list.reduce((sum, {slots}) => sum + slots, 0),
  );
  const demandedSlots = demanded.reduce((sum, slots) => sum + slots, 0);
  const idle = Math.max(0, capacity.slots - demandedSlots);
  const weights = instances.reduce((sum, {weight}) => sum + weight, 0);
  const targets = instances.map(
    ({weight}, index) =>
      (demanded[index] ?? 0) + (weights > 0 ? (idle * weight) / weights : 0),
  );
  const roundedTargets = roundToSum(targets, capacity.slots);
  return instances.map(({instance}, index) => ({
    instance,
    demanded: demanded[index] ?? 0,
    target: roundedTargets[index] ?? 0,
    entitlements: entitlements[index] ?? [],
  }));
}
