/** Upstreams that this instance sends tasks to, with their connections. */
import {CandidateIndex} from '@mustardferry/decisions';
import {UpstreamLink} from '@mustardferry/links';
import {
  type Resources,
  type UpstreamAnnouncement,
  type UpstreamId,
  upstreamKey,
} from '@mustardferry/model';

/** Options of the pool. */
export interface UpstreamPoolOptions {
  readonly token: string | undefined;
  /** Entry instances of this data centre, which share each worker's limit. */
  readonly instancesInDataCentre: number;
}

const CONNECT_TIMEOUT_MS = 500;
const CONTROL_TIMEOUT_MS = 500;
/** Connection for queries, stops and renewals beside those for starts. */
const CONTROL_CONNECTIONS = 1;

/** Candidates for routing and the links to them, by upstream key. */
export class UpstreamPool {
  readonly name = 'upstream-pool';
  readonly candidates = new CandidateIndex();
  private readonly announcements = new Map<string, UpstreamAnnouncement>();
  private readonly links = new Map<string, UpstreamLink>();
  private readonly leaving = new Set<string>();
  private readonly capacities = new Map<string, readonly Resources[]>();
  private removedAtMs = Date.now();

  constructor(private readonly options: UpstreamPoolOptions) {}

  /**
   * When an upstream was last lost, or the start of this instance: soon after
   * it, a missing upstream may be about to announce itself.
   */
  get lastRemovalAtMs(): number {
    return this.removedAtMs;
  }

  /** Distinct capacities of the upstreams that offer a kind. */
  getCapacities(kind: string): readonly Resources[] {
    let known = this.capacities.get(kind);
    if (known === undefined) {
      const distinct = new Map<string, Resources>();
      for (const [key, {kinds, capacity}] of this.announcements) {
        if (this.leaving.has(key) || !kinds.includes(kind)) continue;
        distinct.set(JSON.stringify(capacity), capacity);
      }
      known = [...distinct.values()];
      this.capacities.set(kind, known);
    }
    return known;
  }

  /** Limits the tasks that run at once on an upstream; 0 stops new work. */
  setAllowance(key: string, allowance: number): void {
    const available = allowance > 0 && !this.leaving.has(key);
    this.candidates.setAvailable(key, available);
    this.candidates.setLimit(key, allowance);
  }

  /** Adds an upstream that may be used from now on. */
  add(announcement: UpstreamAnnouncement): void {
    const key = upstreamKey(announcement);
    this.announcements.set(key, announcement);
    this.leaving.delete(key);
    this.capacities.clear();
    this.candidates.add({
      key,
      worker: announcement.worker,
      rack: announcement.rack,
      kinds: announcement.kinds,
      capacity: announcement.capacity,
    });
    // A task may have kept the entry of an upstream that had expired.
    this.candidates.setAvailable(key, true);
    this.candidates.setLimit(key, Infinity);
  }

  /** Stops new work; the link stays until `removeIfIdle`. */
  stopNewWork(id: UpstreamId): void {
    const key = upstreamKey(id);
    if (!this.announcements.has(key)) return;
    this.leaving.add(key);
    this.capacities.clear();
    this.removedAtMs = Date.now();
    this.candidates.setAvailable(key, false);
  }

  /** Forgets a leaving upstream once none of its tasks runs here. */
  removeIfIdle(key: string): void {
    const running = this.candidates.get(key)?.running ?? 0;
    if (running > 0 || !this.leaving.has(key)) return;
    this.candidates.remove(key);
    this.announcements.delete(key);
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

  /** The link to one life of an upstream; opened on first use. */
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

  /**
   * Slot credits bound the connections in use, so that the sum over all
   * instances stays below the worker's slots; this only caps idle ones.
   */
  private computeMaxConnections(key: string): number {
    const announcement = this.announcements.get(key);
    if (announcement === undefined) return 1;
    const {maxConnections, capacity} = announcement;
    const fairPart = Math.floor(
      maxConnections / this.options.instancesInDataCentre,
    );
    return Math.max(
      1,
      Math.min(capacity.slots, fairPart - CONTROL_CONNECTIONS),
    );
  }
}
