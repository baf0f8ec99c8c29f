/**
 * Slot allocator of a data centre: divides the slots of the workers among the
 * instances as credits, by weighted fair demand.
 */
import {
  addResources,
  InvariantError,
  NO_RESOURCES,
  type Resources,
  subtractResources,
} from '@mustardferry/model';

import {computeSlotTargets, type SlotTarget} from './slot_targets.js';
import type {
  AllocatorTeam,
  AllocatorWorker,
  InstanceAllocation,
  InstanceDemand,
  SlotAllocation,
  SlotAllocationInput,
  SlotGrant,
} from './slot_types.js';

interface WorkerState {
  description: AllocatorWorker;
  freeSlots: number;
  readonly held: Map<string, number>;
}

interface InstanceState {
  demand: InstanceDemand;
  held: number;
}

/**
 * Fraction of its idle credits below which an instance makes others return
 * theirs. Above it, evening out idle credits isn't worth the messages.
 */
const MIN_IDLE_FRACTION = 0.5;

/**
 * Incremental allocator. A credit counts as held from its grant until it is
 * released or its holder is removed, so no slot is ever granted twice.
 */
export class SlotAllocator {
  private readonly workers = new Map<string, WorkerState>();
  private readonly open = new Set<WorkerState>();
  private readonly instances = new Map<string, InstanceState>();
  private teams: ReadonlyMap<string, AllocatorTeam> = new Map();
  private capacity: Resources = NO_RESOURCES;

  setTeams(teams: readonly AllocatorTeam[]): void {
    this.teams = new Map(teams.map(team => [team.team, team]));
  }

  /** Adds a worker or changes its description; credits stay held. */
  setWorker(description: AllocatorWorker): void {
    const state = this.workers.get(description.worker);
    const {slots} = description.capacity;
    if (state) {
      const before = state.description.capacity;
      this.capacity = subtractResources(this.capacity, before);
      state.freeSlots += slots - before.slots;
      state.description = description;
      this.updateOpenWorkers(state);
    } else {
      const added = {description, freeSlots: slots, held: new Map()};
      this.workers.set(description.worker, added);
      this.updateOpenWorkers(added);
    }
    this.capacity = addResources(this.capacity, description.capacity);
  }

  /** Removes a worker with its credits. */
  removeWorker(worker: string): void {
    const state = this.workers.get(worker);
    if (!state) return;
    for (const [name, credits] of state.held) {
      const instance = this.instances.get(name);
      if (instance) instance.held -= credits;
    }
    this.workers.delete(worker);
    this.open.delete(state);
    const {capacity} = state.description;
    this.capacity = subtractResources(this.capacity, capacity);
  }

  /** Replaces the demand that an instance reported. */
  setDemand(demand: InstanceDemand): void {
    const state = this.instances.get(demand.instance);
    if (state) state.demand = demand;
    else this.instances.set(demand.instance, {demand, held: 0});
  }

  /** Frees the credits of an instance whose lease ended. */
  removeInstance(instance: string): void {
    for (const state of this.workers.values()) {
      state.freeSlots += state.held.get(instance) ?? 0;
      state.held.delete(instance);
      this.updateOpenWorkers(state);
    }
    this.instances.delete(instance);
  }

  /** Restores reported credits of an instance in a new allocator. */
  restoreCredits(instance: string, worker: string, credits: number): void {
    const state = this.workers.get(worker);
    if (state) this.hold(state, instance, credits);
  }

  /** Frees credits that an instance returned, at most those it held. */
  releaseCredits(instance: string, worker: string, credits: number): void {
    const state = this.workers.get(worker);
    const held = state?.held.get(instance) ?? 0;
    if (state) this.hold(state, instance, -Math.min(credits, held));
  }

  /** Credits of a worker held by an instance. */
  getHeldCredits(instance: string, worker: string): number {
    return this.workers.get(worker)?.held.get(instance) ?? 0;
  }

  /** Grants free slots and decides which instances return credits. */
  allocate(): SlotAllocation {
    const demands = [...this.instances.values()].map(({demand}) => demand);
    const targets = computeSlotTargets(demands, this.teams, this.capacity);
    const grants = this.grantFreeSlots(targets);
    return {grants, instances: this.limits(targets)};
  }

  /** @throws InvariantError when more credits are held than slots exist. */
  checkInvariants(): void {
    for (const [worker, {description, freeSlots, held}] of this.workers) {
      const sum = [...held.values()].reduce((a, b) => a + b, 0);
      if (sum + freeSlots !== description.capacity.slots) {
        throw new InvariantError(
          `credits of ${worker}: ${sum} held and ${freeSlots} free differ from its slots`,
        );
      }
    }
  }

  private updateOpenWorkers(state: WorkerState): void {
    if (state.freeSlots > 0) this.open.add(state);
    else this.open.delete(state);
  }

  private hold(state: WorkerState, instance: string, credits: number): void {
    const held = (state.held.get(instance) ?? 0) + credits;
    if (held > 0) state.held.set(instance, held);
    else state.held.delete(instance);
    state.freeSlots -= credits;
    const holder = this.instances.get(instance);
    if (holder) holder.held += credits;
    this.updateOpenWorkers(state);
  }

  /** Grants free slots by deficit, in the order of speed and rack. */
  private grantFreeSlots(targets: readonly SlotTarget[]): readonly SlotGrant[] {
    if (this.open.size === 0) return [];
    const deficits = targets.map(({instance, target}) => {
      const held = this.instances.get(instance)?.held ?? 0;
      const deficit = Math.max(0, target - held);
      return {instance, deficit, left: deficit, currentWeight: 0};
    });
    const open = [...this.open].sort(
      (a, b) =>
        a.description.speedFactor - b.description.speedFactor ||
        (a.description.rack < b.description.rack ? -1 : 1),
    );
    return open.flatMap(state => {
      const creditsByInstance = new Map<string, number>();
      while (state.freeSlots > 0) {
        const instance = pickNextInstance(deficits);
        if (instance === undefined) break;
        this.hold(state, instance, 1);
        creditsByInstance.set(
          instance,
          (creditsByInstance.get(instance) ?? 0) + 1,
        );
      }
      const {worker} = state.description;
      return [...creditsByInstance].map(([instance, credits]) => ({
        worker,
        instance,
        credits,
      }));
    });
  }

  /** Asks for the credits that others need, in proportion to the surplus. */
  private limits(
    targets: readonly SlotTarget[],
  ): readonly InstanceAllocation[] {
    let needed = 0;
    let surplus = 0;
    for (const {instance, target, demanded} of targets) {
      const held = this.instances.get(instance)?.held ?? 0;
      const minTarget = demanded + MIN_IDLE_FRACTION * (target - demanded);
      needed += Math.max(0, Math.min(target, Math.ceil(minTarget)) - held);
      surplus += Math.max(0, held - target);
    }
    const part = surplus > 0 ? Math.min(1, needed / surplus) : 0;
    return targets.map(({instance, target, entitlements}) => {
      const held = this.instances.get(instance)?.held ?? 0;
      const creditsToReturn = Math.ceil(
        part * Math.max(0, held - target) - 1e-9,
      );
      return creditsToReturn > 0
        ? {
            instance,
            keep: held - creditsToReturn,
            entitlements,
            reason: 'credit-rebalance',
          }
        : {instance, entitlements, reason: 'credit-demand'};
    });
  }
}

interface Deficit {
  readonly instance: string;
  readonly deficit: number;
  left: number;
  currentWeight: number;
}

/**
 * Picks the instance of the next slot by smooth weighted round robin, which
 * spreads each instance's slots evenly over speeds and racks.
 */
function pickNextInstance(deficits: readonly Deficit[]): string | undefined {
  let total = 0;
  let best: Deficit | undefined;
  for (const each of deficits) {
    if (each.left === 0) continue;
    each.currentWeight += each.deficit;
    total += each.deficit;
    if (!best || each.currentWeight > best.currentWeight) best = each;
  }
  if (!best) return undefined;
  best.currentWeight -= total;
  best.left--;
  return best.instance;
}

/** Allocates once from complete input. */
export function allocateSlots(input: SlotAllocationInput): SlotAllocation {
  const allocator = new SlotAllocator();
  allocator.setTeams(input.teams);
  for (const worker of input.workers) allocator.setWorker(worker);
  for (const {held, ...demand} of input.instances) {
    allocator.setDemand(demand);
    for (const {worker, credits} of held) {
      allocator.restoreCredits(demand.instance, worker, credits);
    }
  }
  return allocator.allocate();
}
