/** Compact identities of values, which keep states and their keys small. */

/** Gives equal values equal small numbers. */
export class Interner<T extends object> {
  private readonly known = new WeakMap<T, number>();
  private readonly ids = new Map<string, number>();
  private readonly values: T[] = [];

  idOf(value: T): number {
    const known = this.known.get(value);
    if (known !== undefined) return known;
    const key = JSON.stringify(value);
    let id = this.ids.get(key);
    if (id === undefined) {
      id = this.values.push(value) - 1;
      this.ids.set(key, id);
    }
    this.known.set(value, id);
    return id;
  }

  valueOf(id: number): T {
    return this.values[id] as T;
  }
}

/** Remembers the results of a pure function by a text key. */
export class Memo<T> {
  private readonly results = new Map<string, T>();

  get(key: string, compute: () => T): T {
    let result = this.results.get(key);
    if (result === undefined) {
      result = compute();
      this.results.set(key, result);
    }
    return result;
  }
}
