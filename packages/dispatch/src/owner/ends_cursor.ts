/** Positions in the list of run ends of one incarnation of an upstream. */
import type {RunEnd} from '../upstreams/upstream_port.js';

/** Tracks which ends were seen, committed and acknowledged. */
export class EndsCursor {
  /** Position of the newest end that was seen. */
  private newestSeen: number;
  /** Position up to which the upstream has received an acknowledgement. */
  private acked = 0;

  /** @param committed Position up to which ends are already committed. */
  constructor(private committed: number) {
    this.newestSeen = committed;
  }

  /** Whether all ends seen are committed and acknowledged. */
  get isIdle(): boolean {
    return this.newestSeen === this.committed && this.acked === this.committed;
  }

  get seenPosition(): number {
    return this.newestSeen;
  }

  /**
   * The position to acknowledge, 0 for none. A position is acknowledged once
   * only: if the upstream has restarted under the same id, its positions start
   * from 1 again, and an old one would make it discard ends nobody has seen.
   */
  get positionToAcknowledge(): number {
    return this.acked < this.committed ? this.committed : 0;
  }

  /** Returns the ends that were not seen before, and marks them as seen. */
  takeNewEnds(all: readonly RunEnd[]): readonly RunEnd[] {
    const ends = all.filter(end => end.sequence > this.newestSeen);
    for (const {sequence} of ends)
      this.newestSeen = Math.max(this.newestSeen, sequence);
    return ends;
  }

  /** Marks a position as received by the incarnation that answered the hold. */
  markAcknowledged(position: number): void {
    this.acked = Math.max(this.acked, position);
  }

  markCommitted(position: number): void {
    this.committed = Math.max(this.committed, position);
  }
}
