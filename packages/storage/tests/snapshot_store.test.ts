import {expect} from 'chai';

import type {FileOperation} from '../src/simulated_file_system.js';
import {SimulatedFileSystem} from '../src/simulated_file_system.js';
import {SnapshotStore} from '../src/snapshot_store.js';

const FOLDER = '/data/snapshots';

async function load(files: SimulatedFileSystem): Promise<string | undefined> {
  const store = await SnapshotStore.open({files, folder: FOLDER});
  const loaded = await store.load();
  return loaded && Buffer.from(loaded.bytes).toString();
}

async function saved(...texts: string[]) {
  const files = new SimulatedFileSystem();
  const store = await SnapshotStore.open({files, folder: FOLDER});
  for (const text of texts) await store.save(Buffer.from(text));
  return {files, store};
}

describe('SnapshotStore', () => {
  it('keeps only the newest snapshot over a crash', async () => {
    const {files} = await saved('one', 'two');
    expect(await files.list(FOLDER)).to.have.length(1);
    files.crash();
    expect(await load(files)).to.equal('two');
  });

  const failures: readonly FileOperation[] = [
    'open',
    'write',
    'sync',
    'rename',
    'syncFolder',
  ];
  for (const operation of failures) {
    it(`keeps the snapshot before when ${operation} fails`, async () => {
      const {files, store} = await saved('one');
      files.fail(operation, 'ENOSPC');
      const err: unknown = await store
        .save(Buffer.from('two'))
        .catch((err: unknown) => err);
      expect(err).to.have.property('code', 'storage-full');
      files.crash(5);
      expect(await load(files)).to.equal('one');
    });
  }

  it('refuses a damaged snapshot instead of starting empty', async () => {
    const {files} = await saved('one');
    const [name = ''] = await files.list(FOLDER);
    files.damage(`${FOLDER}/${name}`, content => content.fill(0, 17));
    const err: unknown = await load(files).catch((err: unknown) => err);
    expect(err).to.have.property('code', 'snapshot-corrupt');
  });
});
