/** Check of the hash chain of the audit trail. */
import {computeAuditHash} from '@mustardferry/coordination';
import type {AuditEntry} from '@mustardferry/model';

/** Progress of a check over consecutive pages. */
export interface ChainPosition {
  /** Index of the last entry checked; 0 before the first. */
  readonly index: number;
  readonly hash: string;
}

/** Result of checking a run of entries. */
export type ChainCheck =
  | {readonly valid: true; readonly position: ChainPosition}
  | {readonly valid: false; readonly index: number; readonly reason: string};

/** Checks entries that follow `start`. Indexes must grow by one. */
export function checkChain(
  start: ChainPosition,
  entries: readonly AuditEntry[],
): ChainCheck {
  let {index, hash} = start;
  for (const entry of entries) {
    const expected = index + 1;
    if (entry.index !== expected) {
      const reason = `entry ${expected} is missing; ${entry.index} follows`;
      return {valid: false, index: expected, reason};
    }
    if (computeAuditHash(hash, entry) !== entry.hash) {
      const reason = `the hash of entry ${entry.index} does not match its content and the entry before`;
      return {valid: false, index: entry.index, reason};
    }
    index = entry.index;
    hash = entry.hash;
  }
  return {valid: true, position: {index, hash}};
}
