/** What each peer claims to hold, with the versions that detect lost messages. */
import type {UpstreamId} from '@mustardferry/model';

import type {RegistrySender} from './upstream_messages.js';

interface Peer {
  readonly session: number;
  /** Highest sequence number received. */
  sequence: number;
  /** Version applied, or undefined until a full state arrives. */
  version: number | undefined;
  /** Undefined until the first sign of life. */
  heardAtMs: number | undefined;
  /** Incarnations by address. */
  readonly held: Map<string, number>;
  /**
   * Claims of the session before. Upstreams find another holder when theirs
   * restarts; until the old claims lapse, that must not make them expire.
   */
  earlier: {readonly held: Map<string, number>; readonly heardAtMs: number};
}

/** How a message relates to what was applied of its sender. */
export type MessageOrder = 'old' | 'next' | 'gap';

const NO_CLAIMS = {held: new Map<string, number>(), heardAtMs: -Infinity};

/** Claims by peer. */
export class PeerClaims {
  private readonly peers = new Map<string, Peer>();
  /** Peers that may hold an address; those that don't are removed on reading. */
  private readonly candidates = new Map<string, Set<string>>();

  /** Prepares for a message of the sender; false when its session is over. */
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

  /** Records a sequence number; false when a later one was received. */
  advance(from: string, sequence: number): boolean {
    const peer = this.peers.get(from);
    if (peer === undefined || sequence <= peer.sequence) return false;
    peer.sequence = sequence;
    return true;
  }

  /** Relates a message that leads from one version to another. */
  order(from: string, before: number, after: number): MessageOrder {
    const applied = this.peers.get(from)?.version;
    if (applied === undefined) return 'gap';
    if (after < applied || (after === applied && before < after)) return 'old';
    return before === applied ? 'next' : 'gap';
  }

  /** Records the version applied and, if `now` is given, a sign of life. */
  confirm(from: string, version: number, now: number | undefined): void {
    const peer = this.peers.get(from);
    if (peer === undefined) return;
    peer.version = version;
    if (now !== undefined) peer.heardAtMs = now;
  }

  hold(from: string, id: UpstreamId): void {
    this.peers.get(from)?.held.set(id.address, id.incarnation);
    const names = this.candidates.get(id.address);
    if (names === undefined) this.candidates.set(id.address, new Set([from]));
    else names.add(from);
  }

  release(from: string, id: UpstreamId): void {
    const held = this.peers.get(from)?.held;
    if (held?.get(id.address) === id.incarnation) held.delete(id.address);
  }

  releaseAll(from: string): void {
    this.peers.get(from)?.held.clear();
  }

  /** The live peer that holds this life, the first by name, with its time. */
  holderOf(
    id: UpstreamId,
    aliveSinceMs: number,
  ): {readonly name: string; readonly heardAtMs: number} | undefined {
    let found: {name: string; heardAtMs: number} | undefined;
    const names = this.candidates.get(id.address) ?? [];
    for (const name of names) {
      const peer = this.peers.get(name);
      if (peer === undefined) continue;
      for (const {held, heardAtMs = -Infinity} of [peer, peer.earlier]) {
        if (held.get(id.address) !== id.incarnation) continue;
        if (heardAtMs <= aliveSinceMs) continue;
        if (found === undefined || name < found.name) found = {name, heardAtMs};
      }
    }
    this.dropCandidates(id.address);
    return found;
  }

  /**
   * Forgets the claims of peers that were silent since `aliveSinceMs`. Their
   * upstreams expire, so their full state is needed when they come back.
   */
  dropSilent(aliveSinceMs: number): void {
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

  private dropCandidates(address: string): void {
    const names = this.candidates.get(address);
    if (names === undefined) return;
    for (const name of names) {
      const peer = this.peers.get(name);
      if (peer?.held.has(address) || peer?.earlier.held.has(address)) continue;
      names.delete(name);
    }
    if (names.size === 0) this.candidates.delete(address);
  }
}
