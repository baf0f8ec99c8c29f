/** Archive of audit entries; the control state keeps only the newest ones. */
import type {AuditEntry, AuditPage} from '@mustardferry/model';

import {AuditGapError} from '../errors.js';
import {MAX_AUDIT_TAIL_ENTRIES} from './audit_tail.js';
import type {ControlState} from './control_state.js';

/** Stores the audit trail on an instance with a disk. */
export abstract class AuditArchive {
  /** Index of the newest archived entry; 0 when the archive is empty. */
  abstract get lastIndex(): number;

  /**
   * Appends the entries that follow the newest archived one and skips those
   * already archived. An empty archive accepts any first entry. `previousHash`
   * is the hash of the entry before `entries[0]`.
   *
   * @throws AuditGapError when entries between the newest archived one and the
   *     given ones are missing.
   */
  abstract append(
    entries: readonly AuditEntry[],
    previousHash: string,
  ): Promise<void>;

  /**
   * Returns the entries after an index, oldest first. The page starts at the
   * oldest archived entry when that is later.
   */
  abstract page(after: number, limit: number): Promise<AuditPage>;
}

/**
 * Copies new entries to the archive. Must be called after each applied change.
 *
 * @throws AuditGapError when the state dropped entries before they were
 *     archived. The caller then copies them from the archive of a peer.
 */
export async function archiveAudit(
  state: ControlState,
  archive: AuditArchive,
): Promise<void> {
  const {lastIndex} = archive;
  if (state.lastAuditIndex <= lastIndex) return;
  const page =
    state.getAuditPage(lastIndex, MAX_AUDIT_TAIL_ENTRIES) ??
    (lastIndex === 0 ? state.getAuditTail() : undefined);
  if (page === undefined) {
    throw new AuditGapError(`audit entry ${lastIndex + 1} is not in memory`);
  }
  await archive.append(page.entries, page.previousHash);
}
