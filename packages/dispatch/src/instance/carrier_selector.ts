/** Choice of the member that carries the orders for an upstream. */
import {type UpstreamTarget} from '../upstreams/upstream_port.js';
import {lifeKey} from '../upstreams/upstream_types.js';

/** A member that can carry orders. */
export interface Carrier {
  readonly address: string;
  readonly dataCentre: string;
}

/**
 * Upstreams up to which the leader gives all orders itself: a hop costs half a
 * millisecond, and the leader's processor is not scarce below.
 */
const MAX_DIRECT_UPSTREAMS = 64;

/** What is remembered of the way to one upstream. */
interface Way {
  /** The member that carries the orders; null for the leader itself. */
  path: string | null;
  /** The member that failed last. */
  failed: string | null;
  /** Members that hold connections to the upstream. */
  readonly used: Set<string>;
}

/** Remembers the path of each upstream. */
export class OrderPaths {
  private readonly ways = new Map<string, Way>();
  /** Members whose answers are overdue; nothing was heard of them since. */
  private readonly quiet = new Set<string>();

  /**
   * @param carriers The members that are connected now, without the leader.
   * @param upstreams Count of the upstreams that the group knows: a new leader
   *     meets them one by one, and must not connect to most of a large pool.
   */
  constructor(
    private readonly carriers: () => readonly Carrier[],
    private readonly upstreams: () => number,
  ) {}

  /** Upstreams that have a path. */
  get size(): number {
    return this.ways.size;
  }

  /**
   * The path for the next order. It stays the same while its member is
   * connected; while that is quiet, orders take a detour.
   */
  choose(to: UpstreamTarget): string | null {
    const way = this.wayTo(to);
    const count = Math.max(this.ways.size, this.upstreams());
    if (count <= MAX_DIRECT_UPSTREAMS) return null;
    const connected = this.carriers();
    if (!connected.some(({address}) => address === way.path)) {
      const others = connected.filter(({address}) => address !== way.failed);
      const usable = others.length > 0 ? others : connected;
      way.path = this.leastLoaded(this.preferred(usable, to));
    }
    const {path} = way;
    if (path === null || !this.quiet.has(path)) return noteUse(way, path);
    return noteUse(way, this.detour(to, path) ?? path);
  }

  /**
   * Another path than a given one; null if no other member is connected, or if
   * the upstream was released.
   */
  alternative(to: UpstreamTarget, path: string): string | null {
    const way = this.ways.get(lifeKey(to));
    return way ? noteUse(way, this.detour(to, path)) : null;
  }

  /** Forgets an upstream; returns the members that carried orders for it. */
  release(to: UpstreamTarget): readonly string[] {
    const key = lifeKey(to);
    const used = this.ways.get(key)?.used ?? [];
    this.ways.delete(key);
    return [...used];
  }

  /** An order had no answer: the next one takes another path, if any. */
  failed(to: UpstreamTarget, carrier: string): void {
    const way = this.ways.get(lifeKey(to));
    if (!way) return;
    if (way.path === carrier) way.path = null;
    way.failed = carrier;
  }

  /** Notes that answers of a member are overdue; whether that is new. */
  noteQuiet(carrier: string): boolean {
    if (this.quiet.has(carrier)) return false;
    this.quiet.add(carrier);
    return true;
  }

  /** Notes that a member told something. */
  noteHeard(carrier: string): void {
    this.quiet.delete(carrier);
  }

  private wayTo(to: UpstreamTarget): Way {
    const key = lifeKey(to);
    let way = this.ways.get(key);
    if (!way) {
      way = {path: null, failed: null, used: new Set()};
      this.ways.set(key, way);
    }
    return way;
  }

  /** Spreads the upstreams of a member over the others, always the same way. */
  private detour(to: UpstreamTarget, path: string): string | null {
    const others = this.carriers().filter(({address}) => address !== path);
    const candidates = this.preferred(others, to);
    return candidates[hashOf(lifeKey(to)) % candidates.length]?.address ?? null;
  }

  /** Those that are not quiet and near, as far as there are any. */
  private preferred(
    carriers: readonly Carrier[],
    {dataCentre}: UpstreamTarget,
  ): readonly Carrier[] {
    const heard = carriers.filter(({address}) => !this.quiet.has(address));
    const usable = heard.length > 0 ? heard : carriers;
    const near = usable.filter(each => each.dataCentre === dataCentre);
    return near.length > 0 ? near : usable;
  }

  private leastLoaded(candidates: readonly Carrier[]): string | null {
    const loads = new Map<string | null, number>();
    for (const {path} of this.ways.values()) {
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

function noteUse(way: Way, path: string | null): string | null {
  if (path !== null) way.used.add(path);
  return path;
}

/** FNV-1a over UTF-16 code units: spreads similar keys. */
function hashOf(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193) >>> 0;
  }
  return hash;
}
