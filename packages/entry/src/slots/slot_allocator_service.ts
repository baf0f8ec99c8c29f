/** Allocator side of slot credits; active where record group 0 is led. */
import {type AllocatorTeam, SlotAllocator} from '@mustardferry/decisions';
import type {SlotReply, SlotReport} from '@mustardferry/links';
import {
  type Policy,
  type UpstreamAnnouncement,
  upstreamKey,
} from '@mustardferry/model';

/** Options of the allocator. Durations are in milliseconds. */
export interface SlotAllocatorOptions {
  readonly self: string;
  /** Instances of the data centre, this one included. */
  readonly instances: readonly string[];
  readonly isUp: (instance: string) => boolean;
  /** Credits of a silent instance are free after this time. */
  readonly leaseMs: number;
}

type Credits = ReadonlyMap<string, number>;

class Holder {
  /** Booked but not yet sent. */
  undelivered = new Map<string, number>();
  /** Sent in the last reply and not yet confirmed. */
  inFlight: Credits = new Map();
  replySequence = 0;
  reportedAtMs = 0;
}

function merge(into: Map<string, number>, more: Credits): void {
  for (const [worker, credits] of more) {
    into.set(worker, (into.get(worker) ?? 0) + credits);
  }
}

/**
 * Books the slots of a data centre. Grants travel only in replies to reports,
 * so that a lost reply is recognized by the next report and sent again.
 */
export class SlotAllocatorService {
  private readonly allocator = new SlotAllocator();
  private readonly holders = new Map<string, Holder>();
  private readonly workers = new Set<string>();
  private readonly startedAtMs: number;

  constructor(
    private readonly options: SlotAllocatorOptions,
    now: number,
  ) {
    this.startedAtMs = now;
  }

  setPolicy(policy: Policy): void {
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
    const {rack, capacity} = announcement;
    this.workers.add(worker);
    this.allocator.setWorker({worker, rack, speedFactor: 1, capacity});
  }

  removeWorker(worker: string): void {
    this.workers.delete(worker);
    this.allocator.removeWorker(worker);
    for (const holder of this.holders.values()) {
      holder.undelivered.delete(worker);
    }
  }

  /** Books a report and answers it. */
  report(report: SlotReport, now: number): SlotReply {
    const holder = this.holderOf(report.from.name);
    holder.reportedAtMs = now;
    const confirmed =
      report.allocator === this.options.self &&
      report.appliedReply === holder.replySequence;
    if (!confirmed) merge(holder.undelivered, holder.inFlight);
    holder.inFlight = new Map();
    this.book(report, holder);
    this.allocator.setDemand({
      instance: report.from.name,
      weight: 1,
      teams: report.teams,
    });
    this.expire(now);
    return this.answer(report, holder, now);
  }

  private holderOf(instance: string): Holder {
    let holder = this.holders.get(instance);
    if (holder === undefined) {
      holder = new Holder();
      this.holders.set(instance, holder);
    }
    return holder;
  }

  /** Makes the books equal to what was reported plus what is on its way. */
  private book(report: SlotReport, holder: Holder): void {
    const {name} = report.from;
    const actual = new Map(holder.undelivered);
    merge(
      actual,
      new Map(report.held.map(({worker, credits}) => [worker, credits])),
    );
    for (const worker of this.workers) {
      const booked = this.allocator.heldBy(name, worker);
      const difference = (actual.get(worker) ?? 0) - booked;
      if (difference > 0) this.allocator.restore(name, worker, difference);
      if (difference < 0) this.allocator.release(name, worker, -difference);
    }
  }

  private expire(now: number): void {
    for (const [name, holder] of this.holders) {
      if (now - holder.reportedAtMs < this.options.leaseMs) continue;
      this.holders.delete(name);
      this.allocator.removeInstance(name);
    }
  }

  private answer(report: SlotReport, holder: Holder, now: number): SlotReply {
    const base = {sequence: report.sequence, allocator: this.options.self};
    holder.replySequence = report.sequence;
    if (!this.knowsAllHolders(now)) {
      return {...base, grants: [], entitlements: []};
    }
    const allocation = this.allocator.allocate();
    for (const {instance, worker, credits} of allocation.grants) {
      merge(this.holderOf(instance).undelivered, new Map([[worker, credits]]));
    }
    holder.inFlight = holder.undelivered;
    holder.undelivered = new Map();
    const mine = allocation.instances.find(
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

  /**
   * A new allocator grants nothing before it knows what the others hold: all
   * reachable instances have reported, or the leases of the rest have ended.
   */
  private knowsAllHolders(now: number): boolean {
    const {instances, self, isUp, leaseMs} = this.options;
    if (now - this.startedAtMs >= leaseMs) return true;
    return instances.every(
      name => this.holders.has(name) || (name !== self && !isUp(name)),
    );
  }
}
