/** Hash chain of the audit trail. */
import {createHash} from 'node:crypto';

import type {AuditEntry} from '@mustardferry/model';

/** An audit entry without its hash. */
export type UnhashedAuditEntry = Omit<AuditEntry, 'hash'>;

/** Result of `verifyAuditChain`. */
export type AuditVerification =
  | {readonly valid: true; readonly lastHash: string}
  | {
      readonly valid: false;
      /** Index of the first entry that is changed, missing or out of order. */
      readonly index: number;
      readonly fault: 'changed' | 'missing' | 'reordered';
    };

/**
 * Computes the hash of an entry: SHA-256 in hexadecimal over the hash of the
 * previous entry, a line feed and the entry as JSON without `hash`, with its
 * members in the order of `AuditEntry`.
 */
export function computeAuditHash(
  previousHash: string,
  entry: UnhashedAuditEntry,
): string {
  const content = JSON.stringify({
    index: entry.index,
    atMs: entry.atMs,
    operator: entry.operator,
    requestId: entry.requestId,
    action: entry.action,
    team: entry.team,
    fromRevision: entry.fromRevision,
    toRevision: entry.toRevision,
    before: entry.before,
    after: entry.after,
    detail: entry.detail,
  });
  return createHash('sha256')
    .update(`${previousHash}\n${content}`)
    .digest('hex');
}

/**
 * Verifies consecutive entries. `previousHash` is the hash of the entry before
 * them, or empty at the start of the trail, where the index is 1. Entries that
 * are missing at the end are detected only by comparing the index of the last
 * entry with `lastIndex` of the page.
 */
export function verifyAuditChain(
  entries: readonly AuditEntry[],
  previousHash: string,
): AuditVerification {
  let expected = previousHash === '' ? 1 : (entries[0]?.index ?? 1);
  let hash = previousHash;
  for (const [at, entry] of entries.entries()) {
    if (entry.index !== expected) {
      const foundLater = entries.some(
        (other, i) => i > at && other.index === expected,
      );
      const reordered = foundLater || entry.index < expected;
      return {
        valid: false,
        index: expected,
        fault: reordered ? 'reordered' : 'missing',
      };
    }
    if (computeAuditHash(hash, entry) !== entry.hash) {
      return {valid: false, index: expected, fault: 'changed'};
    }
    hash = entry.hash;
    expected++;
  }
  return {valid: true, lastHash: hash};
}
