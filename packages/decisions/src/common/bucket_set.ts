/** Set of items in numbered buckets; adding, moving and removing are O(1). */

interface Position {
  bucket: number;
  index: number;
}

/** A set whose items are in buckets 0 to `bucketCount` - 1. */
export class BucketSet<T> {
  private readonly lists: T[][];
  private readonly positions = new Map<T, Position>();

  constructor(bucketCount: number) {
    this.lists = Array.from({length: bucketCount}, () => []);
  }

  get size(): number {
    return this.positions.size;
  }

  get bucketCount(): number {
    return this.lists.length;
  }

  getBucket(index: number): readonly T[] {
    return this.lists[index] ?? [];
  }

  /** Adds an item or moves it; indexes outside the range are clamped. */
  put(item: T, bucket: number): void {
    const target = Math.max(0, Math.min(this.lists.length - 1, bucket));
    const position = this.positions.get(item);
    if (position?.bucket === target) return;
    if (position) this.remove(item);
    const list = this.lists[target] ?? [];
    this.positions.set(item, {bucket: target, index: list.length});
    list.push(item);
  }

  remove(item: T): void {
    const position = this.positions.get(item);
    if (!position) return;
    this.positions.delete(item);
    const list = this.lists[position.bucket] ?? [];
    const last = list.pop();
    if (last === undefined || last === item) return;
    list[position.index] = last;
    const moved = this.positions.get(last);
    if (moved) moved.index = position.index;
  }
}
