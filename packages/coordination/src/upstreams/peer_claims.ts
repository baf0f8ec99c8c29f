/**
 * Tracks which upstreams each peer claims to hold, and the versions and
 * sequence numbers that reveal lost and outdated messages.
 */
import type {UpstreamId} from '@mustardferry/model';

import type {RegistrySender} from './upstream_messages.js';

interface PeerState {
  readonly session: number;
  /** Highest sequence number received. */
  sequence: number;
  /** Last version applied; undefined when a full state is needed. */
  version: number | undefined;
  /** Time of the last heartbeat; undefined before the first one. */
  heardAtMs: number | undefined;
  /** Incarnations of the held upstreams by address. */
  readonly held: Map<string, number>;
  /**
   * Claims of the previous session. When a holder restarts, its upstreams look
   * for another one; the earlier claims keep them from expiring meanwhile.
   */
  earlier: {readonly held: Map<string, number>; readonly heardAtMs: number};
}

/** Order of a message relative to the last version applied of its sender. */
export type MessageOrder = 'old' | 'next' | 'gap';

const NO_CLAIMS = {held: new Map<string, number>(), heardAtMs: -Infinity};

/** Claims of all peers. */
export class PeerClaims {
  private readonly peers = new Map<string, PeerState>();
  /** Names of peers by address; those without a claim are removed on reads. */
  private readonly possibleHolders = new Map<string, Set<string>>();

  /**
   * Starts tracking the session of a message; returns false when the sender has
   * a later session.
   */
  open(sender: RegistrySender): boolean {
    const known = this.peers.get(sender.from);
    if (known?.session === sender.session) return true;
    if (known !== undefined && known.session > sender.session) return false;
    this.peers.set(sender.from, {
      session: sender.session,
      sequence: 0,
      version: 0,
      heardAtMs: undefined,
      held: new Map(),
      earlier:
        known?.heardAtMs === undefined
          ? NO_CLAIMS
          : {held: known.held, heardAtMs: known.heardAtMs},
    });
    return true;
  }

  /** Records a sequence number; false unless it is the highest so far. */
  advanceSequence(from: string, sequence: number): boolean {
    const peer = this.peers.get(from);
    if (peer === undefined || sequence <= peer.sequence) return false;
    peer.sequence = sequence;
    return true;
  }

  /** Orders a message that changes version `before` to version `after`. */
  order(from: string, before: number, after: number): MessageOrder {
    const applied = this.peers.get(from)?.version;
    if (applied === undefined) return 'gap';
    if (after < applied || (after === applied && before < after)) return 'old';
    return before === applied ? 'next' : 'gap';
  }

  /** Records the version applied and, if `now` is given, a heartbeat. */
  confirmVersion(from: string, version: number, now: number | undefined): void {
    const peer = this.peers.get(from);
    if (peer === undefined) return;
    peer.version = version;
    if (now !== undefined) peer.heardAtMs = now;
  }

  hold(from: string, id: UpstreamId): void {
    this.peers.get(from)?.held.set(id.address, id.incarnation);
    const names = this.possibleHolders.get(id.address);
    if (names === undefined)
      this.possibleHolders.set(id.address, new Set([from]));
    else names.add(from);
  }

  releaseClaim(from: string, id: UpstreamId): void {
    const held = this.peers.get(from)?.held;
    if (held?.get(id.address) === id.incarnation) held.delete(id.address);
  }

  releaseAllClaims(from: string): void {
    this.peers.get(from)?.held.clear();
  }

  /**
   * Returns the first peer by name that claims this incarnation and sent a
   * heartbeat after `aliveSinceMs`.
   */
  findHolder(
    id: UpstreamId,
    aliveSinceMs: number,
  ): {readonly name: string; readonly heardAtMs: number} | undefined {
    let found: {name: string; heardAtMs: number} | undefined;
    const names = this.possibleHolders.get(id.address) ?? [];
    for (const name of names) {
      const peer = this.peers.get(name);
      if (peer === undefined) continue;
      for (const {held, heardAtMs = -Infinity} of [peer, peer.earlier]) {
        if (held.get(id.address) !== id.incarnation) continue;
        if (heardAtMs <= aliveSinceMs) continue;
        if (found === undefined || name < found.name) found = {name, heardAtMs};
      }
    }
    this.prunePossibleHolders(id.address);
    return found;
  }

  /**
   * Drops the claims of peers without a heartbeat after `aliveSinceMs`. Their
   * upstreams expire, so a peer that returns must send its full state.
   */
  dropSilentClaims(aliveSinceMs: number): void {
    for (const peer of this.peers.values()) {
      if (peer.earlier.heardAtMs <= aliveSinceMs) peer.earlier = NO_CLAIMS;
      if (peer.heardAtMs === undefined || peer.heardAtMs > aliveSinceMs) {
        continue;
      }
      peer.held.clear();
      peer.version = undefined;
      peer.heardAtMs = undefined;
    }
  }

  private prunePossibleHolders(address: string): void {
    const names = this.possibleHolders.get(address);
    if (names === undefined) return;
    for (const name of names) {
      const peer = this.peers.get(name);
      if (peer?.held.has(address) || peer?.earlier.held.has(address)) continue;
      names.delete(name);
    }
    if (names.size === 0) this.possibleHolders.delete(address);
  }
}
