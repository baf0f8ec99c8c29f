/** Highest incarnation seen at each address, bounded. */
import type {UpstreamId} from '@mustardferry/model';

interface Tombstone {
  readonly incarnation: number;
  readonly left: boolean;
}

/** Remembers which lives of upstreams are over; the oldest entries go first. */
export class Tombstones {
  private readonly byAddress = new Map<string, Tombstone>();

  constructor(private readonly limit: number) {}

  get size(): number {
    return this.byAddress.size;
  }

  /** Highest incarnation seen, or undefined. */
  highest(address: string): number | undefined {
    return this.byAddress.get(address)?.incarnation;
  }

  /** Whether this incarnation said that it leaves. */
  hasLeft(id: UpstreamId): boolean {
    const known = this.byAddress.get(id.address);
    return known?.incarnation === id.incarnation && known.left;
  }

  /** Records a life; one that left stays so. */
  note(id: UpstreamId, left: boolean): void {
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

  /** Lives that left. */
  leaving(): readonly UpstreamId[] {
    return [...this.byAddress]
      .filter(([, known]) => known.left)
      .map(([address, {incarnation}]) => ({address, incarnation}));
  }
}
