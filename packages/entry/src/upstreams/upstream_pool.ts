/** Upstreams to which this instance sends tasks, with their connections. */
import {CandidateIndex} from '@mustardferry/decisions';
import {UpstreamLink} from '@mustardferry/links';
import {
  fitsInto,
  type Resources,
  type UpstreamAnnouncement,
  type UpstreamId,
  upstreamKey,
} from '@mustardferry/model';

/** Options of {@link UpstreamPool}. */
export interface UpstreamPoolOptions {
  readonly token: string | undefined;
  /** Data centre whose upstreams announce themselves to this instance. */
  readonly dataCentre: string;
  /** Entry instances of this data centre, which share each worker's connections. */
  readonly instancesInDataCentre: number;
}

const CONNECT_TIMEOUT_MS = 500;
const CONTROL_TIMEOUT_MS = 500;
/** Connections for queries, stops and renewals, besides those for starts. */
const CONTROL_CONNECTIONS = 1;

/** Routing candidates and the links to them, by upstream key. */
export class UpstreamPool {
  readonly name = 'upstream-pool';
  readonly candidates = new CandidateIndex();
  private readonly announcements = new Map<string, UpstreamAnnouncement>();
  private readonly links = new Map<string, UpstreamLink>();
  private readonly leaving = new Set<string>();
  /** Concurrency limits of upstreams; none for an upstream without an entry. */
  private readonly allowances = new Map<string, number>();
  private evacuated: ReadonlySet<string> = new Set();
  private readonly capacities = new Map<string, readonly Resources[]>();
  private removedAtMs = Date.now();

  constructor(private readonly options: UpstreamPoolOptions) {}

  /**
   * Time when an upstream was last lost or this instance started. Shortly after
   * it, a missing upstream may be about to announce itself.
   */
  get lastRemovalAtMs(): number {
    return this.removedAtMs;
  }

  /** Distinct capacities of the upstreams in use that offer a kind. */
  getCapacities(kind: string): readonly Resources[] {
    let known = this.capacities.get(kind);
    if (known === undefined) {
      const distinct = new Map<string, Resources>();
      for (const [key, {kinds, capacity}] of this.announcements) {
        if (this.leaving.has(key) || !kinds.includes(kind)) continue;
        if (!this.allowsStart(key)) continue;
        distinct.set(JSON.stringify(capacity), capacity);
      }
      known = [...distinct.values()];
      this.capacities.set(kind, known);
    }
    return known;
  }

  /**
   * Whether tasks may start on an upstream with regard to evacuations. All
   * starts depend on it: routing by the availability of candidates, and a start
   * that was recorded first once more before it is sent.
   */
  allowsStart(key: string): boolean {
    const dataCentre = this.announcements.get(key)?.dataCentre;
    return dataCentre === undefined || !this.evacuated.has(dataCentre);
  }

  /** Whether any data centre is evacuated. */
  get hasEvacuations(): boolean {
    return this.evacuated.size > 0;
  }

  /** Whether a data centre is evacuated, as far as this instance knows. */
  isEvacuated(dataCentre: string): boolean {
    return this.evacuated.has(dataCentre);
  }

  /**
   * Replaces the evacuated data centres. Their upstreams get no new work, but
   * keep their links until they leave.
   */
  setEvacuated(dataCentres: readonly string[]): void {
    this.evacuated = new Set(dataCentres);
    this.capacities.clear();
    for (const key of this.announcements.keys()) this.updateCandidate(key);
  }

  /**
   * Returns the evacuated data centre that keeps a task from running. Without
   * upstreams in use for the task, that is one whose upstreams can run it, or
   * this data centre, since only its own upstreams may still announce
   * themselves here.
   */
  findEvacuated(kind: string, resources: Resources): string | undefined {
    if (this.evacuated.size === 0) return undefined;
    const capacities = this.getCapacities(kind);
    if (capacities.some(each => fitsInto(resources, each))) return undefined;
    for (const {dataCentre, kinds, capacity} of this.announcements.values()) {
      const suitable = kinds.includes(kind) && fitsInto(resources, capacity);
      if (suitable && this.evacuated.has(dataCentre)) return dataCentre;
    }
    const {dataCentre} = this.options;
    return this.evacuated.has(dataCentre) ? dataCentre : undefined;
  }

  /** Limits the concurrent tasks on an upstream; 0 stops new work. */
  setAllowance(key: string, allowance: number): void {
    if (!this.announcements.has(key)) return;
    this.allowances.set(key, allowance);
    this.updateCandidate(key);
  }

  /** Adds an upstream and makes it available for new work. */
  add(announcement: UpstreamAnnouncement): void {
    const key = upstreamKey(announcement);
    this.announcements.set(key, announcement);
    this.leaving.delete(key);
    this.allowances.delete(key);
    this.capacities.clear();
    this.candidates.add({
      key,
      worker: announcement.worker,
      rack: announcement.rack,
      kinds: announcement.kinds,
      capacity: announcement.capacity,
    });
    // The candidate of an expired upstream may remain because a task still runs.
    this.updateCandidate(key);
  }

  /** Stops new work on an upstream; its link stays until `removeIfIdle`. */
  stopNewWork(id: UpstreamId): void {
    const key = upstreamKey(id);
    if (!this.announcements.has(key)) return;
    this.leaving.add(key);
    this.capacities.clear();
    this.removedAtMs = Date.now();
    this.candidates.setAvailable(key, false);
  }

  /** Removes a leaving upstream if none of its tasks runs here. */
  removeIfIdle(key: string): void {
    const running = this.candidates.get(key)?.running ?? 0;
    if (running > 0 || !this.leaving.has(key)) return;
    this.candidates.remove(key);
    this.announcements.delete(key);
    this.allowances.delete(key);
    this.leaving.delete(key);
    const link = this.links.get(key);
    this.links.delete(key);
    void link?.close();
  }

  announcement(key: string): UpstreamAnnouncement | undefined {
    return this.announcements.get(key);
  }

  listAnnouncements(): Iterable<UpstreamAnnouncement> {
    return this.announcements.values();
  }

  isLeaving(key: string): boolean {
    return this.leaving.has(key);
  }

  /** Returns the link to one incarnation of an upstream, created on first use. */
  getLink(id: UpstreamId): UpstreamLink {
    const key = upstreamKey(id);
    let link = this.links.get(key);
    if (link === undefined) {
      link = new UpstreamLink({
        id,
        token: this.options.token,
        maxConnections: this.computeMaxConnections(key),
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        controlTimeoutMs: CONTROL_TIMEOUT_MS,
      });
      this.links.set(key, link);
    }
    return link;
  }

  async close(): Promise<void> {
    await Promise.all([...this.links.values()].map(link => link.close()));
    this.links.clear();
  }

  private updateCandidate(key: string): void {
    const allowance = this.allowances.get(key) ?? Infinity;
    const inUse = !this.leaving.has(key) && this.allowsStart(key);
    this.candidates.setAvailable(key, inUse && allowance > 0);
    this.candidates.setLimit(key, allowance);
  }

  /**
   * Slot credits limit the connections in use, so that their sum over all
   * instances stays below the worker's slots. This limit only affects idle ones.
   */
  private computeMaxConnections(key: string): number {
    const announcement = this.announcements.get(key);
    if (announcement === undefined) return 1;
    const {maxConnections, capacity} = announcement;
    const evenShare = Math.floor(
      maxConnections / this.options.instancesInDataCentre,
    );
    return Math.max(
      1,
      Math.min(capacity.slots, evenShare - CONTROL_CONNECTIONS),
    );
  }
}
