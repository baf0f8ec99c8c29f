import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';

import {expect} from 'chai';

import {DataFolder} from '../src/data_folder.js';
import {NodeFileSystem} from '../src/file_system.js';
import {Journal} from '../src/journal.js';
import {SimulatedFileSystem} from '../src/simulated_file_system.js';

async function codeOf(pending: Promise<unknown>): Promise<string> {
  const err: unknown = await pending.catch((err: unknown) => err);
  return (err as {code: string}).code;
}

describe('DataFolder', () => {
  let path = '';
  const files = new NodeFileSystem();
  const open = (instance = 'i1') => DataFolder.open({files, path, instance});

  beforeEach(async () => {
    path = await mkdtemp(`${tmpdir()}/mustardferry-`);
  });

  afterEach(() => rm(path, {recursive: true}));

  it('refuses a second user and admits the next after the first', async () => {
    const first = await open();
    expect(await codeOf(open())).to.equal('data-folder-locked');
    await first.close();
    const second = await open();
    expect(second.id).to.equal(first.id);
    await second.close();
  });

  it('refuses the folder of another instance and names both', async () => {
    await (await open('i1')).close();
    const err: unknown = await open('i2').catch((err: unknown) => err);
    expect(err).to.have.property('code', 'data-folder-foreign');
    expect(String(err)).to.contain('belongs to instance i1, not to i2');
    await (await open('i1')).close();
  });

  it('refuses a folder with data but no identity', async () => {
    await writeFile(`${path}/journal`, 'x');
    expect(await codeOf(open())).to.equal('data-folder-invalid');
  });

  it('refuses a damaged identity', async () => {
    await writeFile(`${path}/identity.json`, '{');
    expect(await codeOf(open())).to.equal('data-folder-invalid');
  });

  it('reads a journal back from a real disk', async () => {
    const folder = await open();
    const options = {files, folder: folder.folderFor('journal')};
    const journal = await Journal.open(options);
    await journal.append([Buffer.from('a'), Buffer.from('b')]);
    await journal.truncateFrom(2);
    await journal.close();
    const again = await Journal.open(options);
    expect(await again.readAll()).to.have.length(1);
    await again.close();
    await folder.close();
  });

  it('forgets a half-made identity after a crash', async () => {
    const simulated = new SimulatedFileSystem();
    const options = {files: simulated, path: '/data', instance: 'i1'};
    simulated.fail('rename', 'EIO');
    expect(await codeOf(DataFolder.open(options))).to.equal(
      'storage-io-failed',
    );
    simulated.crash();
    await (await DataFolder.open(options)).close();
  });
});
