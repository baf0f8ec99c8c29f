/** Highest incarnation seen at each address, up to a number of addresses. */
import type {UpstreamId} from '@mustardferry/model';

interface Tombstone {
  readonly incarnation: number;
  readonly left: boolean;
}

/**
 * Remembers the last incarnation of each upstream, so that an earlier one can't
 * return. Above the limit, the entries recorded longest ago are dropped first.
 */
export class Tombstones {
  private readonly byAddress = new Map<string, Tombstone>();

  constructor(private readonly limit: number) {}

  get size(): number {
    return this.byAddress.size;
  }

  /** Returns the highest incarnation seen at an address, or undefined. */
  getHighestIncarnation(address: string): number | undefined {
    return this.byAddress.get(address)?.incarnation;
  }

  /** Whether this incarnation announced that it leaves. */
  hasLeft(id: UpstreamId): boolean {
    const known = this.byAddress.get(id.address);
    return known?.incarnation === id.incarnation && known.left;
  }

  /** Records an incarnation and makes it the newest; `left` is never reset. */
  recordIncarnation(id: UpstreamId, left: boolean): void {
    const known = this.byAddress.get(id.address);
    if (known !== undefined && known.incarnation > id.incarnation) return;
    const leftBefore = this.hasLeft(id);
    this.byAddress.delete(id.address);
    this.byAddress.set(id.address, {
      incarnation: id.incarnation,
      left: left || leftBefore,
    });
    for (const oldest of this.byAddress.keys()) {
      if (this.byAddress.size <= this.limit) break;
      this.byAddress.delete(oldest);
    }
  }

  /** Returns the incarnations that left. */
  leaving(): readonly UpstreamId[] {
    return [...this.byAddress]
      .filter(([, known]) => known.left)
      .map(([address, {incarnation}]) => ({address, incarnation}));
  }
}
