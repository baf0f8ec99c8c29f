import {mkdtempSync, rmSync} from 'node:fs';
import fs from 'node:fs/promises';
import {syncBuiltinESMExports} from 'node:module';
import {createServer, type Server} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';

import {DataFolder, NodeFileSystem} from '@mustardferry/storage';
import {expect} from 'chai';

import {runInstance} from '../src/run_instance.js';
import {settings} from './fixtures.js';

/** Runs an instance that can't start and returns its code and message. */
async function startFailure(change: Parameters<typeof settings>[0]) {
  const write = process.stderr.write.bind(process.stderr);
  const handlers = process.listenerCount('SIGTERM');
  let text = '';
  process.stderr.write = ((chunk: string) => {
    text += chunk;
    return true;
  }) as typeof process.stderr.write;
  try {
    const code = await runInstance(settings({instances: ALONE, ...change}));
    return {code, text};
  } finally {
    process.stderr.write = write;
    expect(process.listenerCount('SIGTERM')).to.equal(handlers);
  }
}

const ALONE = [
  {name: 'e1', dataCentre: 'dc1', address: '127.0.0.1:1', disk: true},
];

describe('runInstance', () => {
  let folder: string;
  let server: Server | undefined;
  beforeEach(() => {
    folder = mkdtempSync(path.join(tmpdir(), 'mustardferry-'));
  });
  afterEach(async () => {
    const open = server;
    server = undefined;
    if (open !== undefined) {
      await new Promise(resolve => open.close(resolve));
    }
    rmSync(folder, {recursive: true});
  });
  const openFolder = (instance: string) =>
    DataFolder.open({files: new NodeFileSystem(), path: folder, instance});

  it('names the port that is in use, ends with 1 and frees the folder', async () => {
    const listening = createServer();
    server = listening;
    await new Promise<void>(resolve =>
      listening.listen(0, '127.0.0.1', resolve),
    );
    const bound = listening.address();
    const port = typeof bound === 'object' ? bound?.port : 0;
    const listen = `127.0.0.1:${port}`;
    const {code, text} = await startFailure({listen, dataFolder: folder});
    expect(code).to.equal(1);
    expect(text).to.match(/^mustardferry: /);
    expect(text).to.include(listen);
    const reopened = await openFolder('e1');
    await reopened.close();
  });

  it('does not use the folder of another instance, and names both', async () => {
    const other = await openFolder('e9');
    await other.close();
    const {code, text} = await startFailure({dataFolder: folder});
    expect(code).to.equal(1);
    expect(text).to.match(/e9.*e1|e1.*e9/);
  });

  it('does not share a folder with a running instance', async () => {
    const other = await openFolder('e1');
    const {code, text} = await startFailure({dataFolder: folder});
    expect(code).to.equal(1);
    expect(text).to.include(folder);
    await other.close();
  });

  it('does not run without synced storage on a read-only file system', async () => {
    const real = fs.open;
    // The superuser may write to any folder, so its mode is not enough.
    fs.open = (async (file, flags, mode) => {
      if (flags === 'r') return real(file, flags, mode);
      const text = `EROFS: read-only file system, open '${String(file)}'`;
      throw Object.assign(new Error(text), {code: 'EROFS'});
    }) as typeof real;
    syncBuiltinESMExports();
    try {
      const {code, text} = await startFailure({dataFolder: folder});
      expect(code).to.equal(1);
      expect(text)
        .to.include(folder)
        .and.match(/read-only/);
    } finally {
      fs.open = real;
      syncBuiltinESMExports();
    }
  });
});
