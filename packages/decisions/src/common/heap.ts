/** Binary min-heap whose items store their index, so that any can be moved. */

/** Position that an `IndexedHeap` stores in each of its items. */
export interface HeapItem {
  /** Position in the heap, or -1 when the item is in none. */
  heapIndex: number;
}

/** A min-heap with O(log n) push, pop, remove and reorder. */
export class IndexedHeap<T extends HeapItem> {
  private readonly items: T[] = [];

  constructor(private readonly before: (a: T, b: T) => boolean) {}

  get size(): number {
    return this.items.length;
  }

  peek(): T | undefined {
    return this.items[0];
  }

  push(item: T): void {
    item.heapIndex = this.items.length;
    this.items.push(item);
    this.siftUp(item);
  }

  pop(): T | undefined {
    const first = this.items[0];
    if (first) this.remove(first);
    return first;
  }

  remove(item: T): void {
    const index = item.heapIndex;
    if (index < 0) return;
    const last = this.items.pop();
    item.heapIndex = -1;
    if (!last || last === item) return;
    this.place(last, index);
    this.reorder(last);
  }

  /** Restores the order after the key of `item` changed. */
  reorder(item: T): void {
    if (item.heapIndex < 0) return;
    this.siftUp(item);
    this.siftDown(item);
  }

  private place(item: T, index: number): void {
    this.items[index] = item;
    item.heapIndex = index;
  }

  private siftUp(item: T): void {
    let index = item.heapIndex;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = this.items[parentIndex];
      if (!parent || !this.before(item, parent)) break;
      this.place(parent, index);
      index = parentIndex;
    }
    this.place(item, index);
  }

  private siftDown(item: T): void {
    let index = item.heapIndex;
    for (;;) {
      const child = this.smallerChild(index);
      if (!child || !this.before(child, item)) break;
      const childIndex = child.heapIndex;
      this.place(child, index);
      index = childIndex;
    }
    this.place(item, index);
  }

  private smallerChild(index: number): T | undefined {
    const left = this.items[2 * index + 1];
    const right = this.items[2 * index + 2];
    return left && right && this.before(right, left) ? right : left;
  }
}
