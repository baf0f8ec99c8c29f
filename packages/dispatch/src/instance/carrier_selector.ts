/** Selects the carrier that relays the orders for each upstream. */
import {type UpstreamTarget} from '../upstreams/upstream_port.js';
import {upstreamKey} from '../upstreams/upstream_types.js';

/** A member that can relay orders to upstreams. */
export interface Carrier {
  readonly address: string;
  readonly dataCentre: string;
}

/**
 * Number of upstreams up to which the leader sends all orders directly. An
 * exchange over HTTP costs it several times as much as a relayed order, which
 * takes half a millisecond longer: with 60 upstreams a leader on 0.6 of a core
 * has no time left for its decisions.
 */
const MAX_DIRECT_UPSTREAMS = 16;

/** Carriers of one upstream. */
interface CarrierAssignment {
  /** The assigned carrier; null while the leader sends orders directly. */
  path: string | null;
  /** The carrier that failed last. */
  failed: string | null;
  /** All carriers used so far, which may hold connections to the upstream. */
  readonly used: Set<string>;
}

/** Assigns a carrier to each upstream, and avoids unresponsive ones. */
export class CarrierSelector {
  private readonly assignments = new Map<string, CarrierAssignment>();
  /** Carriers with overdue outcomes from which nothing was received since. */
  private readonly unresponsive = new Set<string>();
  private silentPredecessor: string | null = null;

  /**
   * @param getCarriers Returns the connected members, without the leader.
   * @param upstreams Returns the number of upstreams in the replicated state. A
   *     new leader opens its sessions one by one; without this number it would
   *     connect to many upstreams of a large pool directly.
   */
  constructor(
    private readonly getCarriers: () => readonly Carrier[],
    private readonly upstreams: () => number,
  ) {}

  /** Number of upstreams with an assignment. */
  get assignmentCount(): number {
    return this.assignments.size;
  }

  /**
   * Returns the carrier for the next order, or null to send it directly. The
   * assigned carrier is kept while it is connected; while it is unresponsive or
   * the silent predecessor, another carrier is returned.
   */
  selectCarrier(to: UpstreamTarget): string | null {
    const assignment = this.getAssignment(to);
    const count = Math.max(this.assignments.size, this.upstreams());
    if (count <= MAX_DIRECT_UPSTREAMS) return null;
    const connected = this.getCarriers();
    if (!connected.some(({address}) => address === assignment.path)) {
      const others = connected.filter(
        ({address}) => address !== assignment.failed,
      );
      const usable = others.length > 0 ? others : connected;
      assignment.path = this.selectLeastLoaded(
        this.filterPreferred(usable, to),
      );
    }
    const {path} = assignment;
    const isAvoided =
      path !== null &&
      (this.unresponsive.has(path) || path === this.silentPredecessor);
    if (!isAvoided) return recordUse(assignment, path);
    return recordUse(assignment, this.selectByHash(to, path) ?? path);
  }

  /**
   * Returns a carrier other than the given one; null if no other member is
   * connected, or if the upstream was released.
   */
  selectAlternative(to: UpstreamTarget, path: string): string | null {
    const assignment = this.assignments.get(upstreamKey(to));
    return assignment
      ? recordUse(assignment, this.selectByHash(to, path))
      : null;
  }

  /** Removes the assignment of an upstream; returns all carriers it used. */
  releaseUpstream(to: UpstreamTarget): readonly string[] {
    const key = upstreamKey(to);
    const used = this.assignments.get(key)?.used ?? [];
    this.assignments.delete(key);
    return [...used];
  }

  /** Records a failed order, so that the next one uses another carrier. */
  failed(to: UpstreamTarget, carrier: string): void {
    const assignment = this.assignments.get(upstreamKey(to));
    if (!assignment) return;
    if (assignment.path === carrier) assignment.path = null;
    assignment.failed = carrier;
  }

  /** Marks a carrier as unresponsive; returns whether it was not before. */
  markUnresponsive(carrier: string): boolean {
    if (this.unresponsive.has(carrier)) return false;
    this.unresponsive.add(carrier);
    return true;
  }

  /** Marks a carrier as responsive. */
  markResponsive(carrier: string): void {
    this.unresponsive.delete(carrier);
  }

  /**
   * Starts a term. A leader that was replaced for its silence is frozen or cut
   * off, and still connected: it gets no orders until it is heard.
   *
   * @param silentPredecessor Address of that leader; null if there is none.
   */
  startTerm(silentPredecessor: string | null): void {
    this.silentPredecessor = silentPredecessor;
  }

  /** Records that any message of a member was received. */
  memberHeard(address: string): void {
    if (address === this.silentPredecessor) this.silentPredecessor = null;
  }

  private getAssignment(to: UpstreamTarget): CarrierAssignment {
    const key = upstreamKey(to);
    let assignment = this.assignments.get(key);
    if (!assignment) {
      assignment = {path: null, failed: null, used: new Set()};
      this.assignments.set(key, assignment);
    }
    return assignment;
  }

  /** Spreads the upstreams of a carrier over the others by a stable hash. */
  private selectByHash(to: UpstreamTarget, path: string): string | null {
    const others = this.getCarriers().filter(
      ({address}) => address !== path && address !== this.silentPredecessor,
    );
    const usable = this.filterPreferred(others, to);
    return usable[fnv1a(upstreamKey(to)) % usable.length]?.address ?? null;
  }

  /** Prefers responsive carriers, and among them those in the data centre. */
  private filterPreferred(
    carriers: readonly Carrier[],
    {dataCentre}: UpstreamTarget,
  ): readonly Carrier[] {
    const responsive = carriers.filter(
      ({address}) => !this.unresponsive.has(address),
    );
    const usable = responsive.length > 0 ? responsive : carriers;
    const inDataCentre = usable.filter(each => each.dataCentre === dataCentre);
    return inDataCentre.length > 0 ? inDataCentre : usable;
  }

  private selectLeastLoaded(candidates: readonly Carrier[]): string | null {
    const loads = new Map<string | null, number>();
    for (const {path} of this.assignments.values()) {
      loads.set(path, (loads.get(path) ?? 0) + 1);
    }
    let best: string | null = null;
    for (const {address} of candidates) {
      const isLess =
        best === null || (loads.get(address) ?? 0) < (loads.get(best) ?? 0);
      if (isLess) best = address;
    }
    return best;
  }
}

function recordUse(
  assignment: CarrierAssignment,
  path: string | null,
): string | null {
  if (path !== null) assignment.used.add(path);
  return path;
}

/** FNV-1a hash over UTF-16 code units, which spreads similar keys well. */
function fnv1a(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193) >>> 0;
  }
  return hash;
}
