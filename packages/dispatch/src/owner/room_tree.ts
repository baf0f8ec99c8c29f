/** Upstreams by speed, searched for free capacity. */
import type {Step} from '../jobs/job_types.js';

/** Resources that a task needs, or an upstream has free. */
export type Room = Pick<Step, 'cpuMillis' | 'memoryMb' | 'accelerators'>;

/** What the tree holds of an upstream. */
export interface Rated {
  /** Run time divided by the declared time. */
  readonly factor: number;
}

/** Room of an upstream that is not to be found. */
const NO_ROOM: Room = {cpuMillis: -1, memoryMb: -1, accelerators: -1};

/**
 * A segment tree over upstreams from the fastest to the slowest. Each node
 * holds the most that is free below it, so that a search and a change take a
 * time that grows with the logarithm of the number of upstreams.
 */
export class RoomTree<R extends Rated> {
  private readonly leafCount: number;
  private readonly cpuMillis: Float64Array;
  private readonly memoryMb: Float64Array;
  private readonly accelerators: Float64Array;

  /**
   * @param rated Sorted by factor.
   * @param freeOf Free capacity at the time of the call.
   */
  constructor(
    private readonly rated: readonly R[],
    freeOf: (rated: R) => Room,
  ) {
    this.leafCount = 2 ** Math.ceil(Math.log2(Math.max(1, rated.length)));
    const size = 2 * this.leafCount;
    this.cpuMillis = new Float64Array(size).fill(-1);
    this.memoryMb = new Float64Array(size).fill(-1);
    this.accelerators = new Float64Array(size).fill(-1);
    for (const [i, each] of rated.entries()) {
      this.set(this.leafCount + i, freeOf(each));
    }
    for (let node = this.leafCount - 1; node > 0; node--) this.combine(node);
  }

  get size(): number {
    return this.rated.length;
  }

  at(position: number): R | undefined {
    return this.rated[position];
  }

  /** Takes the free capacity of an upstream again. */
  update(position: number, free: Room): void {
    let node = this.leafCount + position;
    this.set(node, free);
    for (node >>= 1; node > 0; node >>= 1) this.combine(node);
  }

  /** Keeps an upstream from being found until its room is taken again. */
  hide(position: number): void {
    this.update(position, NO_ROOM);
  }

  /** First position from `from` on with room; -1 without any. */
  next(need: Room, from: number): number {
    return this.first(need, from, 1, 0, this.leafCount - 1);
  }

  /** Last position up to `to` with room; -1 without any. */
  previous(need: Room, to: number): number {
    return this.last(need, to, 1, 0, this.leafCount - 1);
  }

  /** Last position whose time factor is at most `factor`; -1 without any. */
  lastWithin(factor: number): number {
    let low = 0;
    let high = this.size;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.factorAt(middle) <= factor) low = middle + 1;
      else high = middle;
    }
    return low - 1;
  }

  /** Position with the most free processors among those equally fast. */
  roomiestLike(position: number): number {
    const factor = this.factorAt(position);
    let first = position;
    while (first > 0 && this.factorAt(first - 1) === factor) first--;
    const last = this.lastWithin(factor);
    if (first === last) return position;
    const cpuMillis = this.mostFreeCpu(first, last);
    const found = this.next({...NO_ROOM, cpuMillis}, first);
    return found < 0 ? position : found;
  }

  private factorAt(position: number): number {
    return this.rated[position]?.factor ?? Infinity;
  }

  private mostFreeCpu(from: number, to: number): number {
    let most = -1;
    let low = this.leafCount + from;
    let high = this.leafCount + to + 1;
    for (; low < high; low >>= 1, high >>= 1) {
      if (low % 2 === 1) most = Math.max(most, this.cpuMillis[low++] ?? -1);
      if (high % 2 === 1) most = Math.max(most, this.cpuMillis[--high] ?? -1);
    }
    return most;
  }

  /** Searches the positions `low` to `high` below a node. */
  private first(
    need: Room,
    from: number,
    node: number,
    low: number,
    high: number,
  ): number {
    if (high < from || !this.hasRoom(node, need)) return -1;
    if (low === high) return low;
    const middle = (low + high) >> 1;
    const left = this.first(need, from, 2 * node, low, middle);
    if (left >= 0) return left;
    return this.first(need, from, 2 * node + 1, middle + 1, high);
  }

  private last(
    need: Room,
    to: number,
    node: number,
    low: number,
    high: number,
  ): number {
    if (low > to || !this.hasRoom(node, need)) return -1;
    if (low === high) return low;
    const middle = (low + high) >> 1;
    const right = this.last(need, to, 2 * node + 1, middle + 1, high);
    if (right >= 0) return right;
    return this.last(need, to, 2 * node, low, middle);
  }

  private hasRoom(node: number, need: Room): boolean {
    return (
      (this.cpuMillis[node] ?? -1) >= need.cpuMillis &&
      (this.memoryMb[node] ?? -1) >= need.memoryMb &&
      (this.accelerators[node] ?? -1) >= need.accelerators
    );
  }

  private set(node: number, free: Room): void {
    this.cpuMillis[node] = free.cpuMillis;
    this.memoryMb[node] = free.memoryMb;
    this.accelerators[node] = free.accelerators;
  }

  private combine(node: number): void {
    combineIn(this.cpuMillis, node);
    combineIn(this.memoryMb, node);
    combineIn(this.accelerators, node);
  }
}

function combineIn(values: Float64Array, node: number): void {
  const left = values[2 * node] ?? -1;
  const right = values[2 * node + 1] ?? -1;
  values[node] = left > right ? left : right;
}
