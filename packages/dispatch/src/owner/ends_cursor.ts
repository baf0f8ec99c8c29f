/** Positions in the list of ends of one life of an upstream. */
import type {RunEnd} from '../upstreams/upstream_port.js';

/** Follows which ends were seen, committed, and told to the upstream. */
export class EndsCursor {
  /** Position of the newest end that was taken. */
  private seen: number;
  /** Position up to which this life of the upstream was told to forget. */
  private told = 0;

  /** @param committed Position up to which the upstream may forget ends. */
  constructor(private committed: number) {
    this.seen = committed;
  }

  /** Whether nothing is left to take, to commit or to tell. */
  get isIdle(): boolean {
    return this.seen === this.committed && this.told === this.committed;
  }

  get seenUpTo(): number {
    return this.seen;
  }

  /**
   * The position that the upstream is to be told, 0 for none. Positions count
   * anew in each life, and a new one may have begun under the same id: a
   * position that was told before would make it forget ends that nobody has
   * seen.
   */
  get due(): number {
    return this.told < this.committed ? this.committed : 0;
  }

  /** Takes the ends that were not seen before. */
  take(all: readonly RunEnd[]): readonly RunEnd[] {
    const ends = all.filter(end => end.sequence > this.seen);
    for (const {sequence} of ends) this.seen = Math.max(this.seen, sequence);
    return ends;
  }

  /** Notes that the same life has answered a hold with this position. */
  noteTold(position: number): void {
    this.told = Math.max(this.told, position);
  }

  noteCommitted(position: number): void {
    this.committed = Math.max(this.committed, position);
  }
}
