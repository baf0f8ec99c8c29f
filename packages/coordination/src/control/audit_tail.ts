/** The newest part of the audit trail, bounded, as part of the control state. */
import type {AuditEntry, AuditPage} from '@mustardferry/model';

import {computeAuditHash, type UnhashedAuditEntry} from './audit_chain.js';

/**
 * Most entries kept in memory and in snapshots. At 21,000 changes a day an
 * instance with a disk has more than half an hour to archive them.
 */
export const MAX_AUDIT_TAIL_ENTRIES = 500;

/** Content of a tail in a snapshot. */
export interface AuditTailSnapshot {
  /** Hash of the entry before the first one kept. */
  readonly previousHash: string;
  readonly lastIndex: number;
  readonly entries: readonly AuditEntry[];
}

/** Appends entries to the chain and keeps the newest ones. */
export class AuditTail {
  private entries: AuditEntry[];
  private previousHash: string;
  private last: number;

  constructor(
    from: AuditTailSnapshot = {previousHash: '', lastIndex: 0, entries: []},
  ) {
    this.entries = [...from.entries];
    this.previousHash = from.previousHash;
    this.last = from.lastIndex;
  }

  get lastIndex(): number {
    return this.last;
  }

  append(content: Omit<UnhashedAuditEntry, 'index'>): void {
    const before = this.entries.at(-1)?.hash ?? this.previousHash;
    const entry = {index: ++this.last, ...content};
    this.entries.push({...entry, hash: computeAuditHash(before, entry)});
    while (this.entries.length > MAX_AUDIT_TAIL_ENTRIES) {
      this.previousHash = this.entries.shift()?.hash ?? this.previousHash;
    }
  }

  /** Entries after `index`, or undefined when some of them left memory. */
  page(index: number, limit: number): AuditPage | undefined {
    const first = this.last - this.entries.length;
    if (index < first) return undefined;
    const from = index - first;
    return {
      entries: this.entries.slice(from, from + limit),
      previousHash: this.entries[from - 1]?.hash ?? this.previousHash,
      lastIndex: this.last,
    };
  }

  /** All entries in memory. */
  all(): AuditPage {
    return this.snapshot();
  }

  snapshot(): AuditTailSnapshot {
    return {
      previousHash: this.previousHash,
      lastIndex: this.last,
      entries: this.entries,
    };
  }
}
