import {SimulatedFileSystem} from '@mustardferry/storage';
import {expect} from 'chai';

import {archiveAudit} from '../../src/control/audit_archive.js';
import {verifyAuditChain} from '../../src/control/audit_chain.js';
import {MAX_AUDIT_TAIL_ENTRIES} from '../../src/control/audit_tail.js';
import {ControlState} from '../../src/control/control_state.js';
import {JournalAuditArchive} from '../../src/storage_adapter/journal_audit_archive.js';
import {accept} from '../control/control_commands.js';

/** Applies refused changes with the request ids `r<from>` to `r<to>`. */
function applyRefusedChanges(
  state: ControlState,
  from: number,
  to: number,
): void {
  for (let i = from; i <= to; i++) {
    state.apply(accept(`r${i}`, {baseRevision: 9}), i);
  }
}

describe('JournalAuditArchive', () => {
  it('keeps the chain complete over restarts after the tail dropped entries', async () => {
    const files = new SimulatedFileSystem();
    const state = new ControlState();
    const total = MAX_AUDIT_TAIL_ENTRIES + 200;
    for (let done = 0; done < total; done += 100) {
      const archive = await JournalAuditArchive.open(files, '/data/audit');
      applyRefusedChanges(state, done + 1, done + 100);
      await archiveAudit(state, archive);
      await archiveAudit(state, archive);
      files.crash();
    }
    const archive = await JournalAuditArchive.open(files, '/data/audit');
    const all = await archive.page(0, total);
    expect(all.entries).to.have.length(total);
    expect(verifyAuditChain(all.entries, '')).to.have.property('valid', true);
    const middle = await archive.page(10, 5);
    expect(middle.entries[0]?.index).to.equal(11);
    expect(middle.previousHash).to.equal(all.entries[9]?.hash);
  });

  it('reports entries that were lost before they were archived', async () => {
    const files = new SimulatedFileSystem();
    const archive = await JournalAuditArchive.open(files, '/data/audit');
    const state = new ControlState();
    applyRefusedChanges(state, 1, 10);
    await archiveAudit(state, archive);
    applyRefusedChanges(state, 11, 11 + MAX_AUDIT_TAIL_ENTRIES);
    const err: unknown = await archiveAudit(state, archive).catch(
      (e: unknown) => e,
    );
    expect(err).to.have.property('code', 'audit-gap');
  });

  // Guards against a gap in the archive after a full disk.
  it('still lacks the entries whose append failed', async () => {
    const files = new SimulatedFileSystem();
    const archive = await JournalAuditArchive.open(files, '/data/audit');
    const state = new ControlState();
    applyRefusedChanges(state, 1, 10);
    await archiveAudit(state, archive);
    applyRefusedChanges(state, 11, 20);
    files.fail('sync', 'ENOSPC');
    const failed = await archiveAudit(state, archive).then(
      () => false,
      () => true,
    );
    expect(failed).to.equal(true);
    expect(archive.lastIndex).to.equal(10);
  });

  it('starts with the tail on an instance that joined late', async () => {
    const files = new SimulatedFileSystem();
    const state = new ControlState();
    applyRefusedChanges(state, 1, MAX_AUDIT_TAIL_ENTRIES + 10);
    const first = await JournalAuditArchive.open(files, '/data/audit');
    await archiveAudit(state, first);
    files.crash();
    const archive = await JournalAuditArchive.open(files, '/data/audit');
    const page = await archive.page(0, 10_000);
    expect(page.entries[0]?.index).to.equal(11);
    expect(verifyAuditChain(page.entries, page.previousHash)).to.have.property(
      'valid',
      true,
    );
    expect(archive.lastIndex).to.equal(MAX_AUDIT_TAIL_ENTRIES + 10);
  });
});
