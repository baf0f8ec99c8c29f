/** Manages the slot credits of this instance and runs the allocator on the leader. */
import {CreditLedger, type SharingPolicy} from '@mustardferry/decisions';
import type {PeerIdentity, SlotReply, SlotReport} from '@mustardferry/links';
import {
  addResources,
  NO_RESOURCES,
  type Policy,
  type Resources,
  type UpstreamAnnouncement,
  upstreamKey,
} from '@mustardferry/model';
import type {Logger} from '@mustardferry/runtime';

import type {PeerNetwork} from '../peers/peer_network.js';
import type {UpstreamPool} from '../upstreams/upstream_pool.js';
import {SlotAllocatorService} from './slot_allocator_service.js';

/** Options of {@link SlotService}. */
export interface SlotServiceOptions {
  readonly self: PeerIdentity;
  readonly instances: readonly string[];
  readonly network: PeerNetwork;
  readonly pool: UpstreamPool;
  readonly sharing: SharingPolicy;
  readonly leaseMs: number;
  /** The instance that leads record group 0 of this data centre. */
  readonly allocatorName: () => string | undefined;
  /** Called when new credits allow further starts. */
  readonly onCreditsGranted: () => void;
  readonly logger: Logger;
}

const MIN_REPORT_INTERVAL_MS = 50;
const MAX_REPORT_INTERVAL_MS = 1_000;
const REPORT_TIMEOUT_MS = 500;
/** Fraction of the lease; the rest covers reports in transit and timer delays. */
const CREDIT_LEASE_FRACTION = 0.7;

/** Reports demand to the allocator, applies grants and returns credits. */
export class SlotService {
  readonly name = 'slot-service';
  private readonly ledger = new CreditLedger();
  private readonly workers = new Map<string, UpstreamAnnouncement>();
  private allocator: SlotAllocatorService | undefined;
  private policy: Policy | undefined;
  private sequence = 0;
  private appliedReply = 0;
  private repliedBy = '';
  private reportedAtMs = 0;
  /** Send time of the last report that was answered. */
  private answeredAtMs = 0;
  /** Last report that was answered; 0 if the next one must be complete. */
  private confirmedSequence = 0;
  /** Credits of each worker as last reported. */
  private readonly reported = new Map<string, number>();
  private lastDemand = '';
  private reporting = false;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly options: SlotServiceOptions) {
    this.timer = setInterval(() => this.reportIfDue(), MIN_REPORT_INTERVAL_MS);
  }

  /** Number of credits held for a worker. */
  getHeldCredits(worker: string): number {
    return this.ledger.getCredits(worker).held;
  }

  /** Starts or stops the allocator when the leadership of group 0 changes. */
  setAllocating(allocating: boolean): void {
    if (!allocating) {
      this.allocator = undefined;
      return;
    }
    if (this.allocator !== undefined) return;
    const {self, instances, leaseMs} = this.options;
    this.allocator = new SlotAllocatorService(
      {self: self.name, instances, leaseMs},
      Date.now(),
    );
    if (this.policy !== undefined) this.allocator.setPolicy(this.policy);
    for (const worker of this.workers.values())
      this.allocator.setWorker(worker);
  }

  setPolicy(policy: Policy): void {
    this.policy = policy;
    this.allocator?.setPolicy(policy);
  }

  addWorker(announcement: UpstreamAnnouncement): void {
    this.workers.set(upstreamKey(announcement), announcement);
    this.allocator?.setWorker(announcement);
    this.updateCapacity();
  }

  removeWorker(key: string): void {
    this.workers.delete(key);
    this.ledger.removeWorker(key);
    this.options.pool.candidates.setCredits(key, 0);
    this.allocator?.removeWorker(key);
    this.updateCapacity();
  }

  /** Uses a credit for an attempt. */
  use(worker: string): void {
    this.ledger.use(worker);
  }

  /** Frees the credit of an attempt that has ended. */
  free(worker: string): void {
    const returned = this.ledger.free(worker);
    if (returned !== undefined) this.publishCredits(worker);
  }

  /** Handles a report. Returns `undefined` if this is not the allocator. */
  handleReport(report: SlotReport): SlotReply | undefined {
    return this.allocator?.report(report, Date.now());
  }

  close(): void {
    clearInterval(this.timer);
  }

  private updateCapacity(): void {
    let total: Resources = NO_RESOURCES;
    for (const {capacity} of this.workers.values()) {
      total = addResources(total, capacity);
    }
    this.options.sharing.setCapacity(total);
  }

  /**
   * Drops all credits when no report was answered for most of the lease, before
   * the allocator may grant them to other instances.
   */
  private expireCredits(now: number): void {
    const limitMs = this.options.leaseMs * CREDIT_LEASE_FRACTION;
    if (now - this.answeredAtMs < limitMs) return;
    for (const [worker] of [...this.ledger.listCredits()]) {
      this.ledger.removeWorker(worker);
      this.publishCredits(worker);
    }
  }

  private reportIfDue(): void {
    const now = Date.now();
    this.expireCredits(now);
    const due = now - this.reportedAtMs >= MAX_REPORT_INTERVAL_MS;
    if (this.reporting || !(due || this.needsReport())) return;
    void this.report(now);
  }

  /** Whether demand changed or tasks are queued for lack of credits. */
  private needsReport(): boolean {
    if (this.options.sharing.queuedTasks > 0) return true;
    const demand = JSON.stringify(this.demand().map(({team}) => team));
    return demand !== this.lastDemand;
  }

  private demand(): SlotReport['teams'] {
    return this.options.sharing
      .usage()
      .map(({team, running, queued}) => ({
        team,
        demand: addResources(running, queued),
      }))
      .filter(({demand}) => demand.slots > 0);
  }

  private async report(now: number): Promise<void> {
    this.reporting = true;
    this.reportedAtMs = now;
    const teams = this.demand();
    this.lastDemand = JSON.stringify(teams.map(({team}) => team));
    try {
      const reply = await this.sendReport({
        from: this.options.self,
        sequence: (this.sequence += 1),
        appliedReply: this.appliedReply,
        allocator: this.repliedBy,
        teams,
        heldSince: this.confirmedSequence,
        held: this.collectHeldChanges(),
      });
      const used =
        reply?.sequence === this.sequence && reply.needsFull === undefined;
      // After a lost or refused report, the next one lists all credits.
      this.confirmedSequence = used ? this.sequence : 0;
      if (used) {
        this.answeredAtMs = now;
        this.applyReply(reply);
      }
      if (!used && reply !== undefined) this.reportedAtMs = 0;
    } catch (err) {
      this.confirmedSequence = 0;
      this.options.logger.debug('slot-report-failed', {err});
    } finally {
      this.reporting = false;
    }
  }

  /** Credits that changed since the last report that was answered. */
  private collectHeldChanges(): SlotReport['held'] {
    if (this.confirmedSequence === 0) this.reported.clear();
    const changes: {worker: string; credits: number}[] = [];
    const held = new Map(
      [...this.ledger.listCredits()].map(([k, c]) => [k, c.held]),
    );
    for (const worker of this.reported.keys()) {
      if (!held.has(worker)) held.set(worker, 0);
    }
    for (const [worker, credits] of held) {
      if ((this.reported.get(worker) ?? 0) === credits) continue;
      changes.push({worker, credits});
      if (credits === 0) this.reported.delete(worker);
      else this.reported.set(worker, credits);
    }
    return changes;
  }

  private sendReport(report: SlotReport): Promise<SlotReply | undefined> {
    const {self, network, allocatorName} = this.options;
    const target = allocatorName();
    if (target === undefined) return Promise.resolve(undefined);
    if (target === self.name) return Promise.resolve(this.handleReport(report));
    return network.call(target, REPORT_TIMEOUT_MS, client =>
      client.slotReport.mutate(report),
    );
  }

  private applyReply(reply: SlotReply): void {
    const {pool, sharing, onCreditsGranted} = this.options;
    this.appliedReply = reply.sequence;
    this.repliedBy = reply.allocator;
    for (const {worker, credits} of reply.grants) {
      if (!this.workers.has(worker)) continue;
      this.ledger.granted(worker, credits);
      this.publishCredits(worker);
    }
    const bySpeed = [...this.workers.keys()].sort(
      (a, b) => getSpeedFactor(pool, a) - getSpeedFactor(pool, b),
    );
    const returned = this.ledger.applyLimit(reply.keep ?? Infinity, bySpeed);
    for (const {worker} of returned) this.publishCredits(worker);
    // Reports returned credits at once, so that their new holder gets them
    // without waiting for the next period.
    if (returned.length > 0) this.reportedAtMs = 0;
    sharing.setEntitlements(reply.entitlements);
    if (reply.grants.length > 0) onCreditsGranted();
  }

  private publishCredits(worker: string): void {
    this.options.pool.candidates.setCredits(
      worker,
      this.ledger.getCredits(worker).held,
    );
  }
}

function getSpeedFactor(pool: UpstreamPool, worker: string): number {
  return pool.candidates.get(worker)?.speedFactor ?? 1;
}
