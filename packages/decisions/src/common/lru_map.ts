/** Map of bounded size that evicts the least recently used entry. */

/** Bounded map with string keys. */
export class LruMap<V> {
  private readonly entries = new Map<string, V>();

  /** `dropped` is called with each evicted value. */
  constructor(
    private readonly maxEntries: number,
    private readonly dropped: (value: V) => void = () => {},
  ) {}

  get size(): number {
    return this.entries.size;
  }

  /** Reads without marking the entry as used. */
  get(key: string): V | undefined {
    return this.entries.get(key);
  }

  /** Reads or creates an entry and marks it as used. */
  getOrCreate(key: string, create: () => V): V {
    const found = this.entries.get(key);
    if (found !== undefined) this.entries.delete(key);
    const value = found ?? create();
    this.entries.set(key, value);
    if (this.entries.size > this.maxEntries) this.evictOldest();
    return value;
  }

  delete(key: string): void {
    this.entries.delete(key);
  }

  values(): Iterable<V> {
    return this.entries.values();
  }

  private evictOldest(): void {
    for (const [key, value] of this.entries) {
      this.entries.delete(key);
      this.dropped(value);
      return;
    }
  }
}
