/** Upstreams by speed, searched for free capacity. */
import type {Step} from '../jobs/job_types.js';

/** Resources that a task needs, or an upstream has free. */
export type ResourceVector = Pick<
  Step,
  'cpuMillis' | 'memoryMb' | 'accelerators'
>;

/** What the tree holds of an upstream. */
export interface Ranked {
  /** Run time divided by the declared time. */
  readonly timeFactor: number;
}

/** Room of an upstream that is not to be found. */
const NO_CAPACITY: ResourceVector = {
  cpuMillis: -1,
  memoryMb: -1,
  accelerators: -1,
};

/**
 * A segment tree over upstreams from the fastest to the slowest. Each node
 * holds the most that is free below it, so that a search and a change take a
 * time that grows with the logarithm of the number of upstreams.
 */
export class CapacityTree<R extends Ranked> {
  private readonly leafCount: number;
  private readonly cpuMillis: Float64Array;
  private readonly memoryMb: Float64Array;
  private readonly accelerators: Float64Array;

  /**
   * @param ranked Sorted by factor.
   * @param freeOf Free capacity at the time of the call.
   */
  constructor(
    private readonly ranked: readonly R[],
    freeOf: (rated: R) => ResourceVector,
  ) {
    this.leafCount = 2 ** Math.ceil(Math.log2(Math.max(1, ranked.length)));
    const size = 2 * this.leafCount;
    this.cpuMillis = new Float64Array(size).fill(-1);
    this.memoryMb = new Float64Array(size).fill(-1);
    this.accelerators = new Float64Array(size).fill(-1);
    for (const [i, each] of ranked.entries()) {
      this.setLeaf(this.leafCount + i, freeOf(each));
    }
    for (let node = this.leafCount - 1; node > 0; node--) this.updateNode(node);
  }

  get size(): number {
    return this.ranked.length;
  }

  at(position: number): R | undefined {
    return this.ranked[position];
  }

  /** Takes the free capacity of an upstream again. */
  update(position: number, free: ResourceVector): void {
    let node = this.leafCount + position;
    this.setLeaf(node, free);
    for (node >>= 1; node > 0; node >>= 1) this.updateNode(node);
  }

  /** Keeps an upstream from being found until its room is taken again. */
  exclude(position: number): void {
    this.update(position, NO_CAPACITY);
  }

  /** First position from `from` on with room; -1 without any. */
  next(need: ResourceVector, from: number): number {
    return this.first(need, from, 1, 0, this.leafCount - 1);
  }

  /** Last position up to `to` with room; -1 without any. */
  previous(need: ResourceVector, to: number): number {
    return this.last(need, to, 1, 0, this.leafCount - 1);
  }

  /** Last position whose time factor is at most `factor`; -1 without any. */
  findLastWithin(factor: number): number {
    let low = 0;
    let high = this.size;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.timeFactorAt(middle) <= factor) low = middle + 1;
      else high = middle;
    }
    return low - 1;
  }

  /** Position with the most free processors among those equally fast. */
  findFreestEquallyFast(position: number): number {
    const factor = this.timeFactorAt(position);
    let first = position;
    while (first > 0 && this.timeFactorAt(first - 1) === factor) first--;
    const last = this.findLastWithin(factor);
    if (first === last) return position;
    const cpuMillis = this.maxFreeCpu(first, last);
    const found = this.next({...NO_CAPACITY, cpuMillis}, first);
    return found < 0 ? position : found;
  }

  private timeFactorAt(position: number): number {
    return this.ranked[position]?.timeFactor ?? Infinity;
  }

  private maxFreeCpu(from: number, to: number): number {
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
    need: ResourceVector,
    from: number,
    node: number,
    low: number,
    high: number,
  ): number {
    if (high < from || !this.hasCapacity(node, need)) return -1;
    if (low === high) return low;
    const middle = (low + high) >> 1;
    const left = this.first(need, from, 2 * node, low, middle);
    if (left >= 0) return left;
    return this.first(need, from, 2 * node + 1, middle + 1, high);
  }

  private last(
    need: ResourceVector,
    to: number,
    node: number,
    low: number,
    high: number,
  ): number {
    if (low > to || !this.hasCapacity(node, need)) return -1;
    if (low === high) return low;
    const middle = (low + high) >> 1;
    const right = this.last(need, to, 2 * node + 1, middle + 1, high);
    if (right >= 0) return right;
    return this.last(need, to, 2 * node, low, middle);
  }

  private hasCapacity(node: number, need: ResourceVector): boolean {
    return (
      (this.cpuMillis[node] ?? -1) >= need.cpuMillis &&
      (this.memoryMb[node] ?? -1) >= need.memoryMb &&
      (this.accelerators[node] ?? -1) >= need.accelerators
    );
  }

  private setLeaf(node: number, free: ResourceVector): void {
    this.cpuMillis[node] = free.cpuMillis;
    this.memoryMb[node] = free.memoryMb;
    this.accelerators[node] = free.accelerators;
  }

  private updateNode(node: number): void {
    updateMaximum(this.cpuMillis, node);
    updateMaximum(this.memoryMb, node);
    updateMaximum(this.accelerators, node);
  }
}

function updateMaximum(values: Float64Array, node: number): void {
  const left = values[2 * node] ?? -1;
  const right = values[2 * node + 1] ?? -1;
  values[node] = left > right ? left : right;
}
