/**
 * Upstreams of one data centre as one instance knows them. Pure state: the
 * caller passes the time, sends the messages and calls `expire` regularly.
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
  sameAnnouncement,
  type UpstreamEntry,
  UpstreamTable,
} from './upstream_table.js';

/** Options of a registry. */
export interface UpstreamRegistryOptions {
  /** Name of this instance. */
  readonly instance: string;
  /** Grows with each start of this instance, for example start time in ms. */
  readonly session: number;
  /** Time without renewal, or without the holder's summary. Default 2,500. */
  readonly expiryMs?: number;
  /** Most upstreams known at once. Default 20,000. */
  readonly maxUpstreams?: number;
  /** Most addresses whose last incarnation is remembered. Default 40,000. */
  readonly maxTombstones?: number;
}

const DEFAULT_EXPIRY_MS = 2_500;
const DEFAULT_MAX_UPSTREAMS = 20_000;
const DEFAULT_MAX_TOMBSTONES = 40_000;

const NOTHING: ReceiveResult = {next: 'nothing'};
const REQUEST_FULL: ReceiveResult = {next: 'request-full'};

/** Registry of upstreams; times are on one monotonic clock, in milliseconds. */
export class UpstreamRegistry {
  private readonly table: UpstreamTable;
  private readonly claims = new PeerClaims();
  private readonly listeners = new Set<(event: UpstreamEvent) => void>();
  private readonly pendingUsage = new Map<string, ObservedUsage>();
  private readonly expiryMs: number;
  private pending: UpstreamChange[] = [];
  /** Number of changes handed out by `takeChanges` in this session. */
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

  /** Calls the listener on each event; returns how to stop that. */
  subscribe(listener: (event: UpstreamEvent) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Handles an announcement or renewal that arrived at this instance. */
  announce(announcement: UpstreamAnnouncement, now: number): AnnounceResult {
    const refusal = this.table.refuse(announcement);
    if (refusal !== undefined) return {accepted: false, reason: refusal};
    const known = this.table.get(announcement.address);
    const wasHeld =
      known?.renewedAtMs !== undefined &&
      sameAnnouncement(known.announcement, announcement);
    const entry = this.upsert(announcement);
    entry.renewedAtMs = now;
    if (!wasHeld) this.pending.push({type: 'held', announcement});
    return {accepted: true, state: entry.leaving ? 'leaving' : 'available'};
  }

  /** Handles a leave request; false when the life is not the current one. */
  leave(id: UpstreamId): boolean {
    if (this.table.isOld(id)) return false;
    if (this.table.hasLeft(id)) return true;
    this.table.markLeaving(id);
    this.pending.push({type: 'leaving', id});
    return true;
  }

  /** Stores a usage report; false when it is outdated or of another life. */
  reportUsage(report: UsageReport, now: number): boolean {
    const stored = this.table.storeUsage(report, now);
    if (stored !== undefined) this.pendingUsage.set(report.address, stored);
    return stored !== undefined;
  }

  /** Handles a message of a peer; duplicates and old messages have no effect. */
  receiveMessage(message: UpstreamPeerMessage, now: number): ReceiveResult {
    const {from} = message;
    if (from === this.options.instance) return NOTHING;
    if (message.type === 'usage') {
      for (const report of message.reports) this.table.storeUsage(report, now);
      return NOTHING;
    }
    if (!this.claims.open(message)) return NOTHING;
    // A delayed message changes claims but is no sign of life.
    const fresh = this.claims.advance(from, message.sequence);
    switch (message.type) {
      case 'changes': {
        const {version, changes} = message;
        const before = version - changes.length;
        const order = this.claims.order(from, before, version);
        if (order === 'old') return NOTHING;
        if (order === 'gap') return REQUEST_FULL;
        for (const change of changes) this.applyChange(from, change);
        this.claims.confirm(from, version, fresh ? now : undefined);
        return NOTHING;
      }
      case 'summary': {
        const {version} = message;
        if (!fresh) return NOTHING;
        const order = this.claims.order(from, version, version);
        if (order === 'next') this.claims.confirm(from, version, now);
        return order === 'gap' ? REQUEST_FULL : NOTHING;
      }
      case 'full':
        if (fresh) this.applyFull(message, now);
        return NOTHING;
      default:
        return assertNever(message);
    }
  }

  /** Drops upstreams without sign of life; call at least every 250 ms. */
  expire(now: number): void {
    const since = now - this.expiryMs;
    this.claims.dropSilent(since);
    for (const entry of this.table.values()) {
      const {announcement, renewedAtMs} = entry;
      if (renewedAtMs !== undefined && renewedAtMs <= since) {
        this.releaseOwn(entry);
      }
      if (entry.renewedAtMs !== undefined) continue;
      if (this.claims.holderOf(announcement, since) !== undefined) continue;
      this.table.remove(entry);
      this.pendingUsage.delete(announcement.address);
    }
  }

  /** Changes since the last call, to be sent to every peer at once. */
  takeChanges(): UpstreamPeerMessage | undefined {
    if (this.pending.length === 0) return undefined;
    const changes = this.pending;
    this.pending = [];
    this.version += changes.length;
    return {...this.sender(), type: 'changes', version: this.version, changes};
  }

  /**
   * Messages to be sent to peers every second, in this order: what changed,
   * then the sign of life for all upstreams held at that version.
   */
  summary(now: number): readonly UpstreamPeerMessage[] {
    this.expire(now);
    const changes = this.takeChanges();
    const {version} = this;
    const summary = {...this.sender(), type: 'summary', version} as const;
    return changes === undefined ? [summary] : [changes, summary];
  }

  /**
   * Full state, for a new peer or on request. Contains changes not taken yet;
   * applying them twice has no effect.
   */
  full(): UpstreamPeerMessage {
    const held = this.table
      .values()
      .filter(entry => entry.renewedAtMs !== undefined)
      .map(entry => entry.announcement);
    const leaving = this.table.leaving();
    const {version} = this;
    return {...this.sender(), type: 'full', version, held, leaving};
  }

  /** Usage reports received here since the last call, with their lag now. */
  takeUsage(now: number): UpstreamPeerMessage | undefined {
    if (this.pendingUsage.size === 0) return undefined;
    const reports = [...this.pendingUsage.values()].map(usage => ({
      ...usage.report,
      lagMs: now - usage.observedAtMs,
    }));
    this.pendingUsage.clear();
    return {...this.sender(), type: 'usage', reports};
  }

  get(address: string): RegisteredUpstream | undefined {
    const entry = this.table.get(address);
    return entry === undefined ? undefined : this.view(entry);
  }

  list(): readonly RegisteredUpstream[] {
    return this.table.values().map(entry => this.view(entry));
  }

  get size(): number {
    return this.table.size;
  }

  private sender() {
    const {instance, session} = this.options;
    return {from: instance, session, sequence: ++this.sequence};
  }

  private view(entry: UpstreamEntry): RegisteredUpstream {
    const {announcement, leaving, renewedAtMs, usage} = entry;
    const peer = this.claims.holderOf(announcement, -Infinity);
    return {
      announcement,
      state: leaving ? 'leaving' : 'available',
      holder:
        renewedAtMs === undefined ? (peer?.name ?? '') : this.options.instance,
      confirmedAtMs: renewedAtMs ?? peer?.heardAtMs ?? 0,
      ...(usage === undefined ? {} : {usage}),
    };
  }

  /** Adds or updates; an earlier life that was held here is released. */
  private upsert(announcement: UpstreamAnnouncement): UpstreamEntry {
    const known = this.table.get(announcement.address);
    if (
      known?.renewedAtMs !== undefined &&
      known.announcement.incarnation !== announcement.incarnation
    ) {
      this.releaseOwn(known);
    }
    return this.table.upsert(announcement);
  }

  private releaseOwn(entry: UpstreamEntry): void {
    const {address, incarnation} = entry.announcement;
    entry.renewedAtMs = undefined;
    this.pending.push({type: 'released', id: {address, incarnation}});
  }

  private applyChange(from: string, change: UpstreamChange): void {
    switch (change.type) {
      case 'held':
        return this.claim(from, change.announcement);
      case 'released':
        return this.claims.release(from, change.id);
      case 'leaving':
        return this.table.markLeaving(change.id);
      default:
        return assertNever(change);
    }
  }

  private claim(from: string, announcement: UpstreamAnnouncement): void {
    if (this.table.refuse(announcement) !== undefined) return;
    this.claims.hold(from, announcement);
    this.upsert(announcement);
  }

  private applyFull(
    message: UpstreamPeerMessage & {readonly type: 'full'},
    now: number,
  ): void {
    const {from, version, held, leaving} = message;
    this.claims.releaseAll(from);
    for (const id of leaving) this.table.markLeaving(id);
    for (const announcement of held) this.claim(from, announcement);
    this.claims.confirm(from, version, now);
  }

  private emit(event: UpstreamEvent): void {
    for (const listener of this.listeners) listener(event);
  }
}
