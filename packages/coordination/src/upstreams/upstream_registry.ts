/**
 * Registry of the upstreams of one data centre, kept by each instance. Callers
 * pass the time, send the messages and call `expire` regularly.
 */
import {
  assertNever,
  type UpstreamAnnouncement,
  type UpstreamId,
  type UsageReport,
} from '@mustardferry/model';

import {PeerClaims} from './peer_claims.js';
import type {
  AnnounceResult,
  ObservedUsage,
  ReceiveResult,
  RegisteredUpstream,
  UpstreamChange,
  UpstreamEvent,
  UpstreamPeerMessage,
} from './upstream_messages.js';
import {
  isSameAnnouncement,
  type UpstreamEntry,
  UpstreamTable,
} from './upstream_table.js';

/** Options of a registry. */
export interface UpstreamRegistryOptions {
  /** Name of this instance. */
  readonly instance: string;
  /** Grows with each start of this instance, for example start time in ms. */
  readonly session: number;
  /**
   * An upstream expires after this time without a renewal or, when a peer holds
   * it, without a heartbeat of the peer. Default 2,500.
   */
  readonly expiryMs?: number;
  /** Maximum number of upstreams. Default 20,000. */
  readonly maxUpstreams?: number;
  /** Maximum number of tombstones, one for each address. Default 40,000. */
  readonly maxTombstones?: number;
}

const DEFAULT_EXPIRY_MS = 2_500;
const DEFAULT_MAX_UPSTREAMS = 20_000;
const DEFAULT_MAX_TOMBSTONES = 40_000;

const NO_ACTION: ReceiveResult = {next: 'nothing'};
const REQUEST_FULL: ReceiveResult = {next: 'request-full'};

/** Registry of upstreams. All times are milliseconds on one monotonic clock. */
export class UpstreamRegistry {
  private readonly table: UpstreamTable;
  private readonly claims = new PeerClaims();
  private readonly listeners = new Set<(event: UpstreamEvent) => void>();
  private readonly pendingUsage = new Map<string, ObservedUsage>();
  private readonly expiryMs: number;
  /** Changes for the next `changes` message. */
  private pending: UpstreamChange[] = [];
  /** Number of changes returned by `takeChanges` in this session. */
  private version = 0;
  private sequence = 0;

  constructor(private readonly options: UpstreamRegistryOptions) {
    this.expiryMs = options.expiryMs ?? DEFAULT_EXPIRY_MS;
    this.table = new UpstreamTable(
      options.maxUpstreams ?? DEFAULT_MAX_UPSTREAMS,
      options.maxTombstones ?? DEFAULT_MAX_TOMBSTONES,
      event => this.emit(event),
    );
  }

  /** Calls the listener on each event; returns a function to unsubscribe it. */
  subscribe(listener: (event: UpstreamEvent) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Handles an announcement or renewal sent to this instance. */
  announce(announcement: UpstreamAnnouncement, now: number): AnnounceResult {
    const refusal = this.table.findRefusal(announcement);
    if (refusal !== undefined) return {accepted: false, reason: refusal};
    const known = this.table.get(announcement.address);
    const wasHeld =
      known?.renewedAtMs !== undefined &&
      isSameAnnouncement(known.announcement, announcement);
    const entry = this.upsert(announcement);
    entry.renewedAtMs = now;
    if (!wasHeld) this.pending.push({type: 'held', announcement});
    return {accepted: true, state: entry.leaving ? 'leaving' : 'available'};
  }

  /** Handles a leave request; false when the incarnation is outdated. */
  leave(id: UpstreamId): boolean {
    if (this.table.isOutdated(id)) return false;
    if (this.table.hasLeft(id)) return true;
    this.table.markLeaving(id);
    this.pending.push({type: 'leaving', id});
    return true;
  }

  /**
   * Stores a usage report; returns false when it is outdated or belongs to
   * another incarnation.
   */
  reportUsage(report: UsageReport, now: number): boolean {
    const stored = this.table.storeUsage(report, now);
    if (stored !== undefined) this.pendingUsage.set(report.address, stored);
    return stored !== undefined;
  }

  /** Handles a message of a peer. Duplicate and old messages have no effect. */
  receiveMessage(message: UpstreamPeerMessage, now: number): ReceiveResult {
    const {from} = message;
    if (from === this.options.instance) return NO_ACTION;
    if (message.type === 'usage') {
      for (const report of message.reports) this.table.storeUsage(report, now);
      return NO_ACTION;
    }
    if (!this.claims.open(message)) return NO_ACTION;
    // A delayed message may change claims but does not count as a heartbeat.
    const isNewest = this.claims.advanceSequence(from, message.sequence);
    switch (message.type) {
      case 'changes': {
        const {version, changes} = message;
        const before = version - changes.length;
        const order = this.claims.order(from, before, version);
        if (order === 'old') return NO_ACTION;
        if (order === 'gap') return REQUEST_FULL;
        for (const change of changes) this.applyChange(from, change);
        this.claims.confirmVersion(from, version, isNewest ? now : undefined);
        return NO_ACTION;
      }
      case 'summary': {
        const {version} = message;
        if (!isNewest) return NO_ACTION;
        const order = this.claims.order(from, version, version);
        if (order === 'next') this.claims.confirmVersion(from, version, now);
        return order === 'gap' ? REQUEST_FULL : NO_ACTION;
      }
      case 'full':
        if (isNewest) this.applyFullState(message, now);
        return NO_ACTION;
      default:
        return assertNever(message);
    }
  }

  /** Removes expired upstreams. Must be called at least every 250 ms. */
  expire(now: number): void {
    const since = now - this.expiryMs;
    this.claims.dropSilentClaims(since);
    for (const entry of this.table.getEntries()) {
      const {announcement, renewedAtMs} = entry;
      if (renewedAtMs !== undefined && renewedAtMs <= since) {
        this.releaseHeld(entry);
      }
      if (entry.renewedAtMs !== undefined) continue;
      if (this.claims.findHolder(announcement, since) !== undefined) continue;
      this.table.remove(entry);
      this.pendingUsage.delete(announcement.address);
    }
  }

  /** Returns the changes since the last call, to be sent to all peers now. */
  takeChanges(): UpstreamPeerMessage | undefined {
    if (this.pending.length === 0) return undefined;
    const changes = this.pending;
    this.pending = [];
    this.version += changes.length;
    return {
      ...this.createSender(),
      type: 'changes',
      version: this.version,
      changes,
    };
  }

  /**
   * Returns the messages to be sent to every peer each second, in this order:
   * pending changes, then the heartbeat for all upstreams held at that version.
   */
  summary(now: number): readonly UpstreamPeerMessage[] {
    this.expire(now);
    const changes = this.takeChanges();
    const {version} = this;
    const summary = {...this.createSender(), type: 'summary', version} as const;
    return changes === undefined ? [summary] : [changes, summary];
  }

  /**
   * Returns the full state for a new peer or on request. It includes pending
   * changes, which have no effect when they are applied a second time.
   */
  full(): UpstreamPeerMessage {
    const held = this.table
      .getEntries()
      .filter(entry => entry.renewedAtMs !== undefined)
      .map(entry => entry.announcement);
    const leaving = this.table.leaving();
    const {version} = this;
    return {...this.createSender(), type: 'full', version, held, leaving};
  }

  /** Returns the usage reports received since the last call, with their lag. */
  takeUsage(now: number): UpstreamPeerMessage | undefined {
    if (this.pendingUsage.size === 0) return undefined;
    const reports = [...this.pendingUsage.values()].map(usage => ({
      ...usage.report,
      lagMs: now - usage.observedAtMs,
    }));
    this.pendingUsage.clear();
    return {...this.createSender(), type: 'usage', reports};
  }

  get(address: string): RegisteredUpstream | undefined {
    const entry = this.table.get(address);
    return entry === undefined ? undefined : this.view(entry);
  }

  list(): readonly RegisteredUpstream[] {
    return this.table.getEntries().map(entry => this.view(entry));
  }

  get size(): number {
    return this.table.size;
  }

  /** Creates the sender fields of the next message of this session. */
  private createSender() {
    const {instance, session} = this.options;
    return {from: instance, session, sequence: ++this.sequence};
  }

  private view(entry: UpstreamEntry): RegisteredUpstream {
    const {announcement, leaving, renewedAtMs, usage} = entry;
    const peer = this.claims.findHolder(announcement, -Infinity);
    return {
      announcement,
      state: leaving ? 'leaving' : 'available',
      holder:
        renewedAtMs === undefined ? (peer?.name ?? '') : this.options.instance,
      confirmedAtMs: renewedAtMs ?? peer?.heardAtMs ?? 0,
      ...(usage === undefined ? {} : {usage}),
    };
  }

  /** Adds or updates an upstream; releases an earlier incarnation held here. */
  private upsert(announcement: UpstreamAnnouncement): UpstreamEntry {
    const known = this.table.get(announcement.address);
    if (
      known?.renewedAtMs !== undefined &&
      known.announcement.incarnation !== announcement.incarnation
    ) {
      this.releaseHeld(known);
    }
    return this.table.upsert(announcement);
  }

  private releaseHeld(entry: UpstreamEntry): void {
    const {address, incarnation} = entry.announcement;
    entry.renewedAtMs = undefined;
    this.pending.push({type: 'released', id: {address, incarnation}});
  }

  private applyChange(from: string, change: UpstreamChange): void {
    switch (change.type) {
      case 'held':
        return this.recordClaim(from, change.announcement);
      case 'released':
        return this.claims.releaseClaim(from, change.id);
      case 'leaving':
        return this.table.markLeaving(change.id);
      default:
        return assertNever(change);
    }
  }

  private recordClaim(from: string, announcement: UpstreamAnnouncement): void {
    if (this.table.findRefusal(announcement) !== undefined) return;
    this.claims.hold(from, announcement);
    this.upsert(announcement);
  }

  private applyFullState(
    message: UpstreamPeerMessage & {readonly type: 'full'},
    now: number,
  ): void {
    const {from, version, held, leaving} = message;
    this.claims.releaseAllClaims(from);
    for (const id of leaving) this.table.markLeaving(id);
    for (const announcement of held) this.recordClaim(from, announcement);
    this.claims.confirmVersion(from, version, now);
  }

  private emit(event: UpstreamEvent): void {
    for (const listener of this.listeners) listener(event);
  }
}
