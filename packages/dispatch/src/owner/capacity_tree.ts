/** Search tree for free capacity over upstreams that are sorted by speed. */
import type {Step} from '../jobs/job_types.js';

/** Resources that a task needs, or an upstream has free. */
export type ResourceVector = Pick<
  Step,
  'cpuMillis' | 'memoryMb' | 'accelerators'
>;

/** An element of the tree. */
export interface Ranked {
  /** Run time divided by the declared run time. */
  readonly timeFactor: number;
}

/** Less than any task needs, so that no search finds the upstream. */
const NO_CAPACITY: ResourceVector = {
  cpuMillis: -1,
  memoryMb: -1,
  accelerators: -1,
};

/**
 * Segment tree over upstreams from the fastest to the slowest. Each node holds
 * the maximum of each resource that is free below it, so that searches and
 * updates take a time that grows with the logarithm of the number of upstreams.
 */
export class CapacityTree<R extends Ranked> {
  private readonly leafCount: number;
  private readonly cpuMillis: Float64Array;
  private readonly memoryMb: Float64Array;
  private readonly accelerators: Float64Array;

  /**
   * @param ranked Elements in ascending order of their time factor.
   * @param getFree Returns the free capacity of an element.
   */
  constructor(
    private readonly ranked: readonly R[],
    getFree: (element: R) => ResourceVector,
  ) {
    this.leafCount = 2 ** Math.ceil(Math.log2(Math.max(1, ranked.length)));
    const size = 2 * this.leafCount;
    this.cpuMillis = new Float64Array(size).fill(-1);
    this.memoryMb = new Float64Array(size).fill(-1);
    this.accelerators = new Float64Array(size).fill(-1);
    for (const [i, each] of ranked.entries()) {
      this.setLeaf(this.leafCount + i, getFree(each));
    }
    for (let node = this.leafCount - 1; node > 0; node--) this.updateNode(node);
  }

  get size(): number {
    return this.ranked.length;
  }

  at(position: number): R | undefined {
    return this.ranked[position];
  }

  /** Updates the free capacity of an upstream. */
  update(position: number, free: ResourceVector): void {
    let node = this.leafCount + position;
    this.setLeaf(node, free);
    for (node >>= 1; node > 0; node >>= 1) this.updateNode(node);
  }

  /** Excludes an upstream from searches until its free capacity is updated. */
  exclude(position: number): void {
    this.update(position, NO_CAPACITY);
  }

  /**
   * First position from `from` on with enough free capacity; -1 without any.
   */
  next(need: ResourceVector, from: number): number {
    return this.first(need, from, 1, 0, this.leafCount - 1);
  }

  /** Last position up to `to` with enough free capacity; -1 without any. */
  previous(need: ResourceVector, to: number): number {
    return this.last(need, to, 1, 0, this.leafCount - 1);
  }

  /** Last position with a factor of at most `timeFactor`; -1 without any. */
  findLastWithin(timeFactor: number): number {
    let low = 0;
    let high = this.size;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.getTimeFactorAt(middle) <= timeFactor) low = middle + 1;
      else high = middle;
    }
    return low - 1;
  }

  /**
   * Position with the most free CPU among upstreams with the same time factor.
   */
  findFreestEquallyFast(position: number): number {
    const timeFactor = this.getTimeFactorAt(position);
    let first = position;
    while (first > 0 && this.getTimeFactorAt(first - 1) === timeFactor) first--;
    const last = this.findLastWithin(timeFactor);
    if (first === last) return position;
    const cpuMillis = this.findMaxFreeCpu(first, last);
    const found = this.next({...NO_CAPACITY, cpuMillis}, first);
    return found < 0 ? position : found;
  }

  private getTimeFactorAt(position: number): number {
    return this.ranked[position]?.timeFactor ?? Infinity;
  }

  private findMaxFreeCpu(from: number, to: number): number {
    let maxCpuMillis = -1;
    let low = this.leafCount + from;
    let high = this.leafCount + to + 1;
    for (; low < high; low >>= 1, high >>= 1) {
      if (low % 2 === 1)
        maxCpuMillis = Math.max(maxCpuMillis, this.cpuMillis[low++] ?? -1);
      if (high % 2 === 1)
        maxCpuMillis = Math.max(maxCpuMillis, this.cpuMillis[--high] ?? -1);
    }
    return maxCpuMillis;
  }

  /** Searches the positions `low` to `high`, which are below `node`. */
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
