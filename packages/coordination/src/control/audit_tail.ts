/** The newest entries of the audit trail, a part of the control state. */
import type {AuditEntry, AuditPage} from '@mustardferry/model';

import {computeAuditHash, type UnhashedAuditEntry} from './audit_chain.js';

/**
 * Maximum number of entries kept in memory and in snapshots. At 21,000 changes
 * a day, an instance with a disk has more than half an hour to archive an entry
 * before it is dropped.
 */
export const MAX_AUDIT_TAIL_ENTRIES = 500;

/** State of an `AuditTail` in a snapshot. */
export interface AuditTailSnapshot {
  /** Hash of the entry before `entries[0]`. */
  readonly previousHash: string;
  readonly lastIndex: number;
  readonly entries: readonly AuditEntry[];
}

/** Appends entries to the hash chain and keeps the newest ones. */
export class AuditTail {
  private entries: AuditEntry[];
  private previousHash: string;
  private lastEntryIndex: number;

  constructor(
    from: AuditTailSnapshot = {previousHash: '', lastIndex: 0, entries: []},
  ) {
    this.entries = [...from.entries];
    this.previousHash = from.previousHash;
    this.lastEntryIndex = from.lastIndex;
  }

  get lastIndex(): number {
    return this.lastEntryIndex;
  }

  append(content: Omit<UnhashedAuditEntry, 'index'>): void {
    const before = this.entries.at(-1)?.hash ?? this.previousHash;
    const entry = {index: ++this.lastEntryIndex, ...content};
    this.entries.push({...entry, hash: computeAuditHash(before, entry)});
    while (this.entries.length > MAX_AUDIT_TAIL_ENTRIES) {
      this.previousHash = this.entries.shift()?.hash ?? this.previousHash;
    }
  }

  /** Returns entries after `index`, or undefined when some were dropped. */
  page(index: number, limit: number): AuditPage | undefined {
    // Index of the entry before the first one kept.
    const first = this.lastEntryIndex - this.entries.length;
    if (index < first) return undefined;
    const from = index - first;
    return {
      entries: this.entries.slice(from, from + limit),
      previousHash: this.entries[from - 1]?.hash ?? this.previousHash,
      lastIndex: this.lastEntryIndex,
    };
  }

  /** Returns all entries kept in memory. */
  getFullPage(): AuditPage {
    return this.snapshot();
  }

  snapshot(): AuditTailSnapshot {
    return {
      previousHash: this.previousHash,
      lastIndex: this.lastEntryIndex,
      entries: this.entries,
    };
  }
}
