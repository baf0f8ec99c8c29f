/**
 * What a member knows of the leader before it, and uses when it leads itself.
 *
 * Load pattern: a leader is frozen, killed or cut off under full load. Its
 * successor has the callers of a second waiting, and neither time to learn the
 * speeds of its upstreams again nor orders to spare for a frozen carrier.
 */
import type {LeadershipChange} from '@mustardferry/coordination';

import type {SpeedsMessage} from '../messages/peer_messages.js';
import type {SpeedSnapshot} from '../owner/upstream_speed.js';

/** Keeps the address and the learned speeds of the last leader. */
export class TermHandover {
  private leader: string | null = null;
  private latest: SpeedsMessage | null = null;

  /** @param self Address of this member. */
  constructor(private readonly self: string) {}

  /** Speeds that the latest leader shared; null if there are none. */
  get speeds(): SpeedSnapshot | null {
    return this.latest?.speeds ?? null;
  }

  /** Records the leader of the current view; null while there is none. */
  observeLeader(leader: string | null): void {
    if (leader !== null && leader !== this.self) this.leader = leader;
  }

  /** Keeps the speeds of the newest term. */
  receiveSpeeds(message: SpeedsMessage): void {
    if (message.term >= (this.latest?.term ?? 0)) this.latest = message;
  }

  /**
   * Returns the address of the earlier leader if this member was elected for
   * its silence; null otherwise.
   */
  findSilentPredecessor({cause}: LeadershipChange): string | null {
    return cause === 'leader-silent' ? this.leader : null;
  }
}
