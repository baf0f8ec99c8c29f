/** Where audit entries go that leave the control state's memory. */
import type {AuditEntry, AuditPage} from '@mustardferry/model';

import {AuditGapError} from '../errors.js';
import {MAX_AUDIT_TAIL_ENTRIES} from './audit_tail.js';
import type {ControlState} from './control_state.js';

/** Audit entries on an instance with a disk. */
export abstract class AuditArchive {
  /** Index of the newest entry; 0 when empty. */
  abstract get lastIndex(): number;

  /**
   * Adds entries that follow the newest one; known ones are passed over. An
   * empty archive may start at any entry. `previousHash` is the hash of the
   * entry before the first one given.
   *
   * @throws AuditGapError when entries are missing in between.
   */
  abstract append(
    entries: readonly AuditEntry[],
    previousHash: string,
  ): Promise<void>;

  /**
   * Entries after an index, oldest first. Where the archive starts later, so
   * does the page.
   */
  abstract page(after: number, limit: number): Promise<AuditPage>;
}

/**
 * Copies new entries to the archive; to be called after each applied change.
 *
 * @throws AuditGapError when entries left the state's memory before they were
 *     archived; the caller fills the gap from the archive of a peer.
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
