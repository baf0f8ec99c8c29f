/** Allocates slot credits on the instance that leads record group 0. */
import {
  type AllocatorTeam,
  type SlotAllocation,
  SlotAllocator,
} from '@mustardferry/decisions';
import type {SlotReply, SlotReport} from '@mustardferry/links';
import {
  type Policy,
  type UpstreamAnnouncement,
  upstreamKey,
} from '@mustardferry/model';

/** Options of {@link SlotAllocatorService}. */
export interface SlotAllocatorOptions {
  readonly self: string;
  /** Instances of the data centre, including this one. */
  readonly instances: readonly string[];
  /** Credits of an instance that sends no report are freed after this time. */
  readonly leaseMs: number;
}

/**
 * Pause after an allocation, as a multiple of its duration. It keeps allocations
 * below 4% of a core at any size, and prompt where they are cheap.
 */
const ALLOCATION_PAUSE_FACTOR = 25;

type Credits = ReadonlyMap<string, number>;

/** Credits and last report of one instance. */
class HolderState {
  /** Granted but not yet sent. */
  undelivered = new Map<string, number>();
  /** Sent in the last reply and not yet confirmed. */
  inFlight: Credits = new Map();
  replySequence = 0;
  reportedAtMs = 0;
  /** Reported credits, complete up to `reportedSequence`. */
  readonly reported = new Map<string, number>();
  reportedSequence = 0;
  /** Reported demand as JSON, to detect changes. */
  demand = '';
  incarnation = '';
  sequence = 0;
}

function addCredits(into: Map<string, number>, more: Credits): void {
  for (const [worker, credits] of more) {
    into.set(worker, (into.get(worker) ?? 0) + credits);
  }
}

/** Records the reported credits. Returns false if an earlier report is missing. */
function recordHeldCredits(holder: HolderState, report: SlotReport): boolean {
  const {heldSince, sequence, held} = report;
  if (heldSince === 0) holder.reported.clear();
  else if (heldSince !== holder.reportedSequence) return false;
  for (const {worker, credits} of held) {
    if (credits === 0) holder.reported.delete(worker);
    else holder.reported.set(worker, credits);
  }
  holder.reportedSequence = sequence;
  return true;
}

/**
 * Allocates the slots of a data centre to its instances. Grants are sent only in
 * replies to reports, so the next report reveals a lost reply and its grants are
 * sent again.
 */
export class SlotAllocatorService {
  private readonly allocator = new SlotAllocator();
  private readonly holders = new Map<string, HolderState>();
  private readonly workers = new Set<string>();
  private readonly startedAtMs: number;
  private limits: SlotAllocation['instances'] = [];
  /** Whether the input changed since the last allocation. */
  private changed = true;
  private nextAllocationAtMs = 0;

  constructor(
    private readonly options: SlotAllocatorOptions,
    now: number,
  ) {
    this.startedAtMs = now;
  }

  setPolicy(policy: Policy): void {
    this.changed = true;
    this.allocator.setTeams(
      policy.teams.map(({team, sharePercent, quota}): AllocatorTeam => ({
        team,
        weight: Math.max(sharePercent, 0.01),
        quota,
      })),
    );
  }

  setWorker(announcement: UpstreamAnnouncement): void {
    const worker = upstreamKey(announcement);
    this.changed = true;
    const {rack, capacity} = announcement;
    this.workers.add(worker);
    this.allocator.setWorker({worker, rack, speedFactor: 1, capacity});
  }

  removeWorker(worker: string): void {
    this.changed = true;
    this.workers.delete(worker);
    this.allocator.removeWorker(worker);
    for (const holder of this.holders.values()) {
      holder.undelivered.delete(worker);
    }
  }

  /** Processes a report. Returns `undefined` for an outdated one. */
  report(report: SlotReport, now: number): SlotReply | undefined {
    const holder = this.getHolder(report.from.name);
    const {incarnation} = report.from;
    const isLate =
      holder.incarnation === incarnation && report.sequence <= holder.sequence;
    if (isLate) return undefined;
    holder.incarnation = incarnation;
    holder.sequence = report.sequence;
    holder.reportedAtMs = now;
    if (!recordHeldCredits(holder, report))
      return this.requestFullReport(report);
    const confirmed =
      report.allocator === this.options.self &&
      report.appliedReply === holder.replySequence;
    if (!confirmed) addCredits(holder.undelivered, holder.inFlight);
    holder.inFlight = new Map();
    this.reconcileCredits(report, holder);
    this.setDemand(report, holder);
    this.expire(now);
    return this.answer(report, holder, now);
  }

  private requestFullReport({sequence}: SlotReport): SlotReply {
    const {self: allocator} = this.options;
    const nothing = {grants: [], entitlements: []};
    return {sequence, allocator, needsFull: true, ...nothing};
  }

  private setDemand({from, teams}: SlotReport, holder: HolderState): void {
    const demand = JSON.stringify(teams);
    if (demand === holder.demand) return;
    holder.demand = demand;
    this.changed = true;
    this.allocator.setDemand({instance: from.name, weight: 1, teams});
  }

  private getHolder(instance: string): HolderState {
    let holder = this.holders.get(instance);
    if (holder === undefined) {
      holder = new HolderState();
      this.holders.set(instance, holder);
    }
    return holder;
  }

  /** Sets the held credits to the reported ones plus undelivered grants. */
  private reconcileCredits(report: SlotReport, holder: HolderState): void {
    const {name} = report.from;
    const actual = new Map(holder.undelivered);
    addCredits(actual, holder.reported);
    for (const worker of this.workers) {
      const booked = this.allocator.getHeldCredits(name, worker);
      const difference = (actual.get(worker) ?? 0) - booked;
      if (difference !== 0) this.changed = true;
      if (difference > 0)
        this.allocator.restoreCredits(name, worker, difference);
      if (difference < 0)
        this.allocator.releaseCredits(name, worker, -difference);
    }
  }

  private expire(now: number): void {
    for (const [name, holder] of this.holders) {
      if (now - holder.reportedAtMs < this.options.leaseMs) continue;
      this.holders.delete(name);
      this.allocator.removeInstance(name);
      this.changed = true;
    }
  }

  private answer(
    report: SlotReport,
    holder: HolderState,
    now: number,
  ): SlotReply {
    const base = {sequence: report.sequence, allocator: this.options.self};
    holder.replySequence = report.sequence;
    if (!this.knowsAllHolders(now)) {
      return {...base, grants: [], entitlements: []};
    }
    this.allocateIfDue();
    holder.inFlight = holder.undelivered;
    holder.undelivered = new Map();
    const mine = this.limits.find(
      ({instance}) => instance === report.from.name,
    );
    return {
      ...base,
      grants: [...holder.inFlight].map(([worker, credits]) => ({
        worker,
        credits,
      })),
      ...(mine?.keep === undefined ? {} : {keep: mine.keep}),
      entitlements: mine?.entitlements ?? [],
    };
  }

  /** Allocates if the input changed and the pause after the last run is over. */
  private allocateIfDue(): void {
    const startedAt = performance.now();
    if (!this.changed || startedAt < this.nextAllocationAtMs) return;
    this.changed = false;
    const allocation = this.allocator.allocate();
    this.limits = allocation.instances;
    for (const {instance, worker, credits} of allocation.grants) {
      addCredits(
        this.getHolder(instance).undelivered,
        new Map([[worker, credits]]),
      );
    }
    const endedAt = performance.now();
    this.nextAllocationAtMs =
      endedAt + (endedAt - startedAt) * ALLOCATION_PAUSE_FACTOR;
  }

  /**
   * A new allocator grants nothing before it knows all held credits: every
   * instance has reported, or the leases of the others have expired.
   */
  private knowsAllHolders(now: number): boolean {
    const {instances, leaseMs} = this.options;
    if (now - this.startedAtMs >= leaseMs) return true;
    return instances.every(
      name => (this.holders.get(name)?.reportedSequence ?? 0) > 0,
    );
  }
}
