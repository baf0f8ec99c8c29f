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

/** Time in ms for which a member that left an order unanswered is avoided. */
const AVOID_MS = 1_000;

/** Remembers the path of each upstream; null stands for the leader itself. */
export class OrderPaths {
  private readonly known = new Map<string, string | null>();
  /** The member that failed last for an upstream. */
  private readonly failedPaths = new Map<string, string>();
  private readonly avoidedUntil = new Map<string, number>();

  /** @param carriers The members that are connected now, without the leader. */
  constructor(private readonly carriers: () => readonly Carrier[]) {}

  /** The path for the next order; stays the same while it works. */
  choose(to: UpstreamTarget, now: number): string | null {
    const key = lifeKey(to);
    if (!this.known.has(key)) this.known.set(key, null);
    if (this.known.size <= MAX_DIRECT_UPSTREAMS) return null;
    const usable = this.carriers().filter(
      ({address}) => !this.isAvoided(address, now),
    );
    const current = this.known.get(key) ?? null;
    if (usable.some(({address}) => address === current)) return current;
    const failed = this.failedPaths.get(key);
    const others = usable.filter(({address}) => address !== failed);
    const chosen = this.leastLoaded(
      others.length > 0 ? others : usable,
      to.dataCentre,
    );
    this.known.set(key, chosen);
    return chosen;
  }

  /** Forgets an upstream; returns the path that its orders took. */
  release(to: UpstreamTarget): string | null {
    const key = lifeKey(to);
    const path = this.known.get(key) ?? null;
    this.known.delete(key);
    this.failedPaths.delete(key);
    return path;
  }

  /** An order had no answer: the next one takes another path, if any. */
  failed(to: UpstreamTarget, carrier: string): void {
    const key = lifeKey(to);
    if (!this.known.has(key)) return;
    this.known.set(key, null);
    this.failedPaths.set(key, carrier);
  }

  /** A member answered nothing for longer than an order may take. */
  avoid(carrier: string, now: number): void {
    this.avoidedUntil.set(carrier, now + AVOID_MS);
  }

  isAvoided(carrier: string, now: number): boolean {
    return (this.avoidedUntil.get(carrier) ?? 0) > now;
  }

  private leastLoaded(
    usable: readonly Carrier[],
    dataCentre: string,
  ): string | null {
    const near = usable.filter(each => each.dataCentre === dataCentre);
    const candidates = near.length > 0 ? near : usable;
    const loads = new Map<string | null, number>();
    for (const path of this.known.values()) {
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
