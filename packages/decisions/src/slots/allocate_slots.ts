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

import {type SlotTarget, slotTargets} from './slot_targets.js';
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
  free: number;
  readonly held: Map<string, number>;
}

interface InstanceState {
  demand: InstanceDemand;
  held: number;
}

/**
 * Part of its idle credits below which an instance has others return theirs.
 * Above it, uneven idle credits aren't worth the messages.
 */
const MIN_IDLE_PART = 0.5;

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
      state.free += slots - before.slots;
      state.description = description;
      this.note(state);
    } else {
      const added = {description, free: slots, held: new Map()};
      this.workers.set(description.worker, added);
      this.note(added);
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

  /** Takes over the report of an instance. */
  setDemand(demand: InstanceDemand): void {
    const state = this.instances.get(demand.instance);
    if (state) state.demand = demand;
    else this.instances.set(demand.instance, {demand, held: 0});
  }

  /** Frees the credits of an instance whose lease ended. */
  removeInstance(instance: string): void {
    for (const state of this.workers.values()) {
      state.free += state.held.get(instance) ?? 0;
      state.held.delete(instance);
      this.note(state);
    }
    this.instances.delete(instance);
  }

  /** Restores credits that an instance reports, for a new allocator. */
  restoreCredits(instance: string, worker: string, credits: number): void {
    const state = this.workers.get(worker);
    if (state) this.hold(state, instance, credits);
  }

  /** Notes returned credits; more than are held count as those held. */
  releaseCredits(instance: string, worker: string, credits: number): void {
    const state = this.workers.get(worker);
    const held = state?.held.get(instance) ?? 0;
    if (state) this.hold(state, instance, -Math.min(credits, held));
  }

  /** Credits of a worker held by an instance. */
  getHeldCredits(instance: string, worker: string): number {
    return this.workers.get(worker)?.held.get(instance) ?? 0;
  }

  /** Grants free slots and says who should return credits. */
  allocate(): SlotAllocation {
    const demands = [...this.instances.values()].map(({demand}) => demand);
    const targets = slotTargets(demands, this.teams, this.capacity);
    const grants = this.grant(targets);
    return {grants, instances: this.limits(targets)};
  }

  /** @throws InvariantError when more credits are held than slots exist. */
  checkInvariants(): void {
    for (const [worker, {description, free, held}] of this.workers) {
      const sum = [...held.values()].reduce((a, b) => a + b, 0);
      if (sum + free !== description.capacity.slots) {
        throw new InvariantError(`credits of ${worker}: ${sum} + ${free}`);
      }
    }
  }

  private note(state: WorkerState): void {
    if (state.free > 0) this.open.add(state);
    else this.open.delete(state);
  }

  private hold(state: WorkerState, instance: string, credits: number): void {
    const held = (state.held.get(instance) ?? 0) + credits;
    if (held > 0) state.held.set(instance, held);
    else state.held.delete(instance);
    state.free -= credits;
    const holder = this.instances.get(instance);
    if (holder) holder.held += credits;
    this.note(state);
  }

  /** Deals free slots by deficit, in the order of speed and rack. */
  private grant(targets: readonly SlotTarget[]): readonly SlotGrant[] {
    if (this.open.size === 0) return [];
    const deficits = targets.map(({instance, target}) => {
      const held = this.instances.get(instance)?.held ?? 0;
      const deficit = Math.max(0, target - held);
      return {instance, deficit, left: deficit, turn: 0};
    });
    const open = [...this.open].sort(
      (a, b) =>
        a.description.speedFactor - b.description.speedFactor ||
        (a.description.rack < b.description.rack ? -1 : 1),
    );
    return open.flatMap(state => {
      const dealt = new Map<string, number>();
      while (state.free > 0) {
        const instance = deal(deficits);
        if (instance === undefined) break;
        this.hold(state, instance, 1);
        dealt.set(instance, (dealt.get(instance) ?? 0) + 1);
      }
      const {worker} = state.description;
      return [...dealt].map(([instance, credits]) => ({
        worker,
        instance,
        credits,
      }));
    });
  }

  /** Asks back what others need, in proportion to the surplus. */
  private limits(
    targets: readonly SlotTarget[],
  ): readonly InstanceAllocation[] {
    let needed = 0;
    let surplus = 0;
    for (const {instance, target, demanded} of targets) {
      const held = this.instances.get(instance)?.held ?? 0;
      const least = demanded + MIN_IDLE_PART * (target - demanded);
      needed += Math.max(0, Math.min(target, Math.ceil(least)) - held);
      surplus += Math.max(0, held - target);
    }
    const part = surplus > 0 ? Math.min(1, needed / surplus) : 0;
    return targets.map(({instance, target, entitlements}) => {
      const held = this.instances.get(instance)?.held ?? 0;
      const back = Math.ceil(part * Math.max(0, held - target) - 1e-9);
      return back > 0
        ? {
            instance,
            keep: held - back,
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
  turn: number;
}

/**
 * Smooth weighted round robin: spreads each instance's slots evenly over the
 * order in which they are dealt.
 */
function deal(deficits: readonly Deficit[]): string | undefined {
  let total = 0;
  let best: Deficit | undefined;
  for (const each of deficits) {
    if (each.left === 0) continue;
    each.turn += each.deficit;
    total += each.deficit;
    if (!best || each.turn > best.turn) best = each;
  }
  if (!best) return undefined;
  best.turn -= total;
  best.left--;
  return best.instance;
}

/** Allocates once from a whole input. */
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
