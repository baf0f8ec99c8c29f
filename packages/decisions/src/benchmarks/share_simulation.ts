/** Simulates the shares that teams receive from instances and an allocator. */
import type {Policy} from '@mustardferry/model';
import {type RandomGenerator, xoroshiro128plus} from 'pure-rand';

import type {SharingPolicy} from '../sharing/sharing_policy.js';
import {SlotAllocator} from '../slots/allocate_slots.js';
import {
  createPolicy,
  createTask,
  TASK_RESOURCES,
  upstreams,
  WORKER_CAPACITY,
} from './fixtures.js';
import {drawLogNormal, SimulatedInstance} from './simulated_instance.js';

/** Options of a simulation. */
export interface ShareSimulationOptions {
  readonly instances: number;
  readonly workers: number;
  /** Shares in percent, one for each team; they sum to 100. */
  readonly shares: readonly number[];
  /** Median run time in milliseconds of each team. */
  readonly runMs: readonly number[];
  readonly seed: number;
  readonly createSharing: () => SharingPolicy;
  /** Whether a team has queued tasks at a time. */
  readonly isActive: (team: number, now: number) => boolean;
}

const REPORT_INTERVAL_MS = 50;
/** Interval at which the backlog is refilled and the usage is sampled. */
const SAMPLE_INTERVAL_MS = 5;
/** Declared run times are too high or too low by up to this factor. */
const MAX_DECLARED_ERROR = 10;
const RUN_SIGMA = 0.5;

/** A running simulation; `step` advances it by one millisecond. */
export class ShareSimulation {
  now = 0;
  /** Slot milliseconds of each team since the last reset. */
  readonly receivedSlotMs: number[];
  private readonly rng: RandomGenerator;
  private readonly policy: Policy;
  private readonly allocator = new SlotAllocator();
  private readonly instances: readonly SimulatedInstance[];
  private order = 0;

  constructor(private readonly options: ShareSimulationOptions) {
    this.rng = xoroshiro128plus(options.seed);
    this.policy = createPolicy(options.shares);
    this.receivedSlotMs = options.shares.map(() => 0);
    const workers = upstreams(options.workers);
    for (const {key, rack, capacity} of workers) {
      this.allocator.setWorker({worker: key, rack, speedFactor: 1, capacity});
    }
    this.allocator.setTeams(
      this.policy.teams.map(({team, sharePercent, quota}) => ({
        team,
        weight: sharePercent / 100,
        quota,
      })),
    );
    this.instances = Array.from(
      {length: options.instances},
      (_, index) =>
        new SimulatedInstance(
          `instance-${index}`,
          options.createSharing(),
          this.policy,
          workers,
          (task, upstream) => this.drawRunMs(task.team, upstream),
        ),
    );
  }

  /** Number of slots that run tasks of each team now. */
  running(): readonly number[] {
    const slots = this.options.shares.map(() => 0);
    for (const {sharing} of this.instances) {
      for (const {team, running} of sharing.usage()) {
        const index = parseTeamIndex(team);
        slots[index] = (slots[index] ?? 0) + running.slots;
      }
    }
    return slots;
  }

  step(): void {
    const isSample = this.now % SAMPLE_INTERVAL_MS === 0;
    if (isSample) this.refillBacklogs();
    if (this.now % REPORT_INTERVAL_MS === 0) this.allocate();
    for (const instance of this.instances) {
      const {returned} = instance.advanceTo(this.now);
      for (const {worker, credits} of returned) {
        this.allocator.releaseCredits(instance.name, worker, credits);
      }
    }
    const running = isSample ? this.running() : [];
    for (const [index, slots] of running.entries()) {
      const sum = this.receivedSlotMs[index] ?? 0;
      this.receivedSlotMs[index] = sum + slots * SAMPLE_INTERVAL_MS;
    }
    this.now++;
  }

  checkInvariants(): void {
    this.allocator.checkInvariants();
    for (const {ledger} of this.instances) ledger.checkInvariants();
  }

  private drawRunMs(team: string, upstream: string): number {
    const median = this.options.runMs[parseTeamIndex(team)] ?? 100;
    const speed = 0.5 + (Number(upstream.slice('upstream-'.length)) % 4) / 2;
    return median * speed * drawLogNormal(this.rng, RUN_SIGMA);
  }

  /** Refills backlogs, which are uneven over the instances. */
  private refillBacklogs(): void {
    for (const [position, instance] of this.instances.entries()) {
      for (const team of this.options.shares.keys()) {
        if (!this.options.isActive(team, this.now)) continue;
        const wanted = 10 + 40 * ((position * 7 + team * 3) % 5);
        this.fillBacklog(instance, team, wanted);
      }
    }
  }

  private fillBacklog(
    instance: SimulatedInstance,
    team: number,
    wanted: number,
  ): void {
    const name = `team-${team}`;
    const queued = () =>
      instance.sharing.usage().find(usage => usage.team === name)
        ?.queuedTasks ?? 0;
    for (let missing = wanted - queued(); missing > 0; missing--) {
      const median = this.options.runMs[team] ?? 100;
      const error = MAX_DECLARED_ERROR ** (((this.order * 13) % 21) / 10 - 1);
      const task = createTask(team, this.order++, this.now, median * error);
      instance.sharing.enqueue(task, this.now);
    }
  }

  private allocate(): void {
    for (const instance of this.instances) {
      this.allocator.setDemand(instance.demand());
    }
    const {grants, instances: allocations} = this.allocator.allocate();
    for (const instance of this.instances) {
      for (const {worker, instance: name, credits} of grants) {
        if (name === instance.name) instance.granted(worker, credits);
      }
      const allocation = allocations.find(
        each => each.instance === instance.name,
      );
      for (const each of allocation
        ? instance.applyAllocation(allocation)
        : []) {
        this.allocator.releaseCredits(instance.name, each.worker, each.credits);
      }
      instance.setCapacity(SLOT_CAPACITY);
    }
  }
}

const SLOT_CAPACITY = {
  ...TASK_RESOURCES,
  processors: WORKER_CAPACITY.processors / WORKER_CAPACITY.slots,
  memoryMb: WORKER_CAPACITY.memoryMb / WORKER_CAPACITY.slots,
};

function parseTeamIndex(team: string): number {
  return Number(team.slice('team-'.length));
}
