/** Slot credits that one instance holds, by upstream. */
import {InvariantError} from '@mustardferry/model';

/** Credits of one upstream. */
export interface Credits {
  readonly held: number;
  readonly inUse: number;
}

/** Credits given back to the allocator. */
export interface ReturnedCredits {
  readonly worker: string;
  readonly credits: number;
}

interface CreditEntry {
  held: number;
  inUse: number;
}

/**
 * Credits of one instance. Those above the limit that the allocator set are
 * returned at once where idle, and otherwise as soon as a task ends.
 */
export class CreditLedger {
  private readonly entries = new Map<string, CreditEntry>();
  private keep = Infinity;
  private held = 0;
  private inUse = 0;

  /** Totals over all upstreams; `toReturn` are returned once they are free. */
  get totals(): Credits & {readonly toReturn: number} {
    const toReturn = Math.max(0, this.held - this.keep);
    return {held: this.held, inUse: this.inUse, toReturn};
  }

  getCredits(worker: string): Credits {
    return this.entries.get(worker) ?? {held: 0, inUse: 0};
  }

  listCredits(): Iterable<readonly [string, Credits]> {
    return this.entries.entries();
  }

  /** Adds granted credits. */
  granted(worker: string, credits: number): void {
    const entry = this.entries.get(worker) ?? {held: 0, inUse: 0};
    entry.held += credits;
    this.held += credits;
    this.entries.set(worker, entry);
  }

  /** Uses a credit for a task; false when none is free. */
  use(worker: string): boolean {
    const entry = this.entries.get(worker);
    if (!entry || entry.inUse >= entry.held) return false;
    entry.inUse++;
    this.inUse++;
    return true;
  }

  /** Ends the use of a credit, and returns it if the limit is exceeded. */
  free(worker: string): ReturnedCredits | undefined {
    const entry = this.entries.get(worker);
    if (!entry || entry.inUse === 0) return undefined;
    entry.inUse--;
    this.inUse--;
    return this.held > this.keep
      ? this.removeCredits(worker, entry, 1)
      : undefined;
  }

  /**
   * Sets the limit and returns idle credits above it, spread evenly over the
   * upstreams in the order of `workersBySpeed`. A limit instead of a number to
   * return makes a request that arrives twice harmless.
   */
  applyLimit(
    keep: number,
    workersBySpeed: readonly string[],
  ): readonly ReturnedCredits[] {
    this.keep = keep;
    if (this.held <= keep) return [];
    const idle = workersBySpeed.flatMap(worker => {
      const entry = this.entries.get(worker);
      return entry ? Array<string>(entry.held - entry.inUse).fill(worker) : [];
    });
    const count = Math.min(this.held - keep, idle.length);
    const chosen = new Map<string, number>();
    for (let index = 0; index < count; index++) {
      const worker = idle[Math.floor(((index + 0.5) * idle.length) / count)];
      if (worker) chosen.set(worker, (chosen.get(worker) ?? 0) + 1);
    }
    return [...chosen].flatMap(([worker, number]) => {
      const entry = this.entries.get(worker);
      return entry ? [this.removeCredits(worker, entry, number)] : [];
    });
  }

  /** Forgets an upstream that expired; its credits no longer exist. */
  removeWorker(worker: string): void {
    const entry = this.entries.get(worker);
    if (!entry) return;
    this.held -= entry.held;
    this.inUse -= entry.inUse;
    this.entries.delete(worker);
  }

  /** @throws InvariantError when a count is impossible. */
  checkInvariants(): void {
    let held = 0;
    let inUse = 0;
    for (const [worker, entry] of this.entries) {
      if (entry.inUse < 0 || entry.inUse > entry.held) {
        const counts = `${entry.inUse} of ${entry.held}`;
        throw new InvariantError(`credits of ${worker} in use: ${counts}`);
      }
      held += entry.held;
      inUse += entry.inUse;
    }
    if (held !== this.held || inUse !== this.inUse) {
      throw new InvariantError('credit totals differ from their entries');
    }
  }

  private removeCredits(
    worker: string,
    entry: CreditEntry,
    credits: number,
  ): ReturnedCredits {
    entry.held -= credits;
    this.held -= credits;
    if (entry.held === 0) this.entries.delete(worker);
    return {worker, credits};
  }
}
