/** Upstreams by address, with the rules for their incarnations. */
import type {
  UpstreamAnnouncement,
  UpstreamId,
  UsageReport,
} from '@mustardferry/model';

import {Tombstones} from './tombstones.js';
import type {ObservedUsage, UpstreamEvent} from './upstream_messages.js';

/** An upstream in the table. */
export interface UpstreamEntry {
  announcement: UpstreamAnnouncement;
  leaving: boolean;
  /** Last renewal received here, or undefined when only peers hold it. */
  renewedAtMs: number | undefined;
  usage: ObservedUsage | undefined;
}

/** Why an incarnation is refused. */
export type UpstreamRefusal = 'old-incarnation' | 'left' | 'registry-full';

/** Whether two announcements have the same content. */
export function isSameAnnouncement(
  a: UpstreamAnnouncement,
  b: UpstreamAnnouncement,
): boolean {
  return a === b || JSON.stringify(a) === JSON.stringify(b);
}

/**
 * Holds at most one incarnation for each address; a higher one replaces a lower
 * one.
 */
export class UpstreamTable {
  private readonly entries = new Map<string, UpstreamEntry>();
  private readonly tombstones: Tombstones;

  constructor(
    private readonly maxUpstreams: number,
    maxTombstones: number,
    private readonly emit: (event: UpstreamEvent) => void,
  ) {
    this.tombstones = new Tombstones(maxTombstones);
  }

  get size(): number {
    return this.entries.size;
  }

  get(address: string): UpstreamEntry | undefined {
    return this.entries.get(address);
  }

  getEntries(): readonly UpstreamEntry[] {
    return [...this.entries.values()];
  }

  /** Returns the incarnations that left and are still remembered. */
  leaving(): readonly UpstreamId[] {
    return this.tombstones.leaving();
  }

  hasLeft(id: UpstreamId): boolean {
    return this.tombstones.hasLeft(id);
  }

  /** Whether a later incarnation is known at the address. */
  isOutdated(id: UpstreamId): boolean {
    const live = this.entries.get(id.address)?.announcement.incarnation;
    const seen = this.tombstones.getHighestIncarnation(id.address);
    return Math.max(live ?? -Infinity, seen ?? -Infinity) > id.incarnation;
  }

  /** Returns why an incarnation can't be added or renewed, or undefined. */
  findRefusal(id: UpstreamId): UpstreamRefusal | undefined {
    if (this.isOutdated(id)) return 'old-incarnation';
    const known = this.entries.get(id.address);
    if (known?.announcement.incarnation === id.incarnation) return undefined;
    if (this.tombstones.hasLeft(id)) return 'left';
    if (known === undefined && this.entries.size >= this.maxUpstreams) {
      return 'registry-full';
    }
    return undefined;
  }

  /** Adds or updates an incarnation for which `findRefusal` found no reason. */
  upsert(announcement: UpstreamAnnouncement): UpstreamEntry {
    const known = this.entries.get(announcement.address);
    if (known?.announcement.incarnation === announcement.incarnation) {
      if (isSameAnnouncement(known.announcement, announcement)) return known;
      known.announcement = announcement;
      if (!known.leaving) this.emit({type: 'available', announcement});
      return known;
    }
    if (known !== undefined) this.remove(known);
    const entry: UpstreamEntry = {
      announcement,
      leaving: false,
      renewedAtMs: undefined,
      usage: undefined,
    };
    this.tombstones.recordIncarnation(announcement, false);
    this.entries.set(announcement.address, entry);
    this.emit({type: 'available', announcement});
    return entry;
  }

  /** Removes an upstream; its incarnation stays remembered. */
  remove(entry: UpstreamEntry): void {
    const {announcement, leaving} = entry;
    // Makes it the newest tombstone, so that tombstones of upstreams that were
    // registered for long are not dropped first.
    this.tombstones.recordIncarnation(announcement, leaving);
    this.entries.delete(announcement.address);
    this.emit({type: 'expired', announcement});
  }

  markLeaving(id: UpstreamId): void {
    if (this.isOutdated(id)) return;
    this.tombstones.recordIncarnation(id, true);
    const entry = this.entries.get(id.address);
    if (entry === undefined || entry.leaving) return;
    if (entry.announcement.incarnation !== id.incarnation) return;
    entry.leaving = true;
    this.emit({type: 'leaving', announcement: entry.announcement});
  }

  /** Stores a usage report unless a later observation is known. */
  storeUsage(report: UsageReport, now: number): ObservedUsage | undefined {
    const entry = this.entries.get(report.address);
    if (entry?.announcement.incarnation !== report.incarnation)
      return undefined;
    const observedAtMs = now - report.lagMs;
    if (entry.usage !== undefined && entry.usage.observedAtMs >= observedAtMs) {
      return undefined;
    }
    entry.usage = {report, observedAtMs};
    return entry.usage;
  }
}
