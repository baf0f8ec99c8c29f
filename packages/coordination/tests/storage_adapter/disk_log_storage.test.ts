import {SimulatedFileSystem} from '@mustardferry/storage';
import {expect} from 'chai';

import {DiskLogStorage} from '../../src/storage_adapter/disk_log_storage.js';
import type {
  StoredEntry,
  StoredSnapshot,
} from '../../src/storage_adapter/stored_log.js';

type Log = DiskLogStorage<string>;

function openLog(files: SimulatedFileSystem): Promise<Log> {
  return DiskLogStorage.open({files, folder: '/data/log', segmentBytes: 1});
}

function createEntries(term: number, from: number, to: number) {
  const created: StoredEntry<string>[] = [];
  for (let index = from; index <= to; index++) {
    created.push({index, term, commands: [`c${index}`], durable: true});
  }
  return created;
}

function createSnapshot(index: number, term = 1): StoredSnapshot {
  const voters = [{name: 'i1', incarnation: 'x'}];
  return {index, term, voters, data: Buffer.from(`s${index}`)};
}

/** Describes the content that a restarted member finds in a short form. */
async function describeRestoredLog(
  files: SimulatedFileSystem,
): Promise<string> {
  const log = await openLog(files);
  const content = await log.load();
  if (content === null) return 'nothing';
  const {term, votedFor, snapshot} = content;
  const found = content.entries.map(each => `${each.index}@${each.term}`);
  const data = snapshot ? Buffer.from(snapshot.data).toString() : '-';
  return [`${term}/${votedFor ?? '-'}`, data, ...found].join(' ');
}

const CASES: readonly [
  string,
  (log: Log, files: SimulatedFileSystem) => Promise<unknown>,
  string,
][] = [
  ['a vote or entries in a new folder', async () => undefined, 'nothing'],
  [
    'the loss of a vote',
    log => Promise.all([log.saveVote(1, 'i1'), log.saveVote(2, 'i2')]),
    '2/i2 -',
  ],
  [
    'entries of a conflicting tail',
    log =>
      Promise.all([
        log.append(createEntries(1, 1, 3)),
        log.truncateFrom(2),
        log.append(createEntries(2, 2, 2)),
      ]),
    '0/- - 1@1 2@2',
  ],
  [
    'the loss of the vote or the suffix with the removed journal segments',
    async log => {
      await log.saveVote(4, 'i2');
      for (const entry of createEntries(1, 1, 6)) await log.append([entry]);
      await log.saveSnapshot(createSnapshot(4), true);
      await log.append(createEntries(1, 7, 7));
    },
    '4/i2 s4 5@1 6@1 7@1',
  ],
  [
    'the return of entries that a snapshot replaced',
    async log => {
      await log.append(createEntries(1, 1, 9));
      await Promise.all([
        log.saveSnapshot(createSnapshot(4, 2), false),
        log.append(createEntries(2, 5, 6)),
        log.saveVote(3, null),
      ]);
    },
    '3/- s4 5@2 6@2',
  ],
  [
    'entries that follow a snapshot which could not be saved',
    async (log, files) => {
      await log.append(createEntries(1, 1, 3));
      files.fail('rename', 'ENOSPC');
      const after = await Promise.allSettled([
        log.saveSnapshot(createSnapshot(8, 2), false),
        log.append(createEntries(2, 9, 9)),
      ]);
      expect(after.map(each => each.status)).to.deep.equal([
        'rejected',
        'rejected',
      ]);
    },
    '0/- - 1@1 2@1 3@1',
  ],
  [
    'a stopped log when a snapshot that keeps the suffix fails',
    async (log, files) => {
      await log.append(createEntries(1, 1, 3));
      files.fail('rename', 'ENOSPC');
      const [saved] = await Promise.allSettled([
        log.saveSnapshot(createSnapshot(2), true),
        log.append(createEntries(1, 4, 4)),
      ]);
      expect(saved.status).to.equal('rejected');
    },
    '0/- - 1@1 2@1 3@1 4@1',
  ],
  [
    'the loss of a second snapshot taken before the first is stored',
    async log => {
      await log.append(createEntries(1, 1, 4));
      await Promise.all([
        log.saveSnapshot(createSnapshot(2), true),
        log.saveSnapshot(createSnapshot(3), true),
        log.append(createEntries(1, 5, 5)),
      ]);
    },
    '0/- s3 4@1 5@1',
  ],
];

describe('DiskLogStorage', () => {
  for (const [failure, run, expected] of CASES) {
    it(`prevents ${failure}`, async () => {
      const files = new SimulatedFileSystem();
      await run(await openLog(files), files);
      files.crash();
      expect(await describeRestoredLog(files)).to.equal(expected);
    });
  }

  it('reports a disk failure as LogStorageError with its cause', async () => {
    const files = new SimulatedFileSystem();
    const log = await openLog(files);
    files.fail('sync', 'EIO');
    const err: unknown = await log.saveVote(1, 'i1').catch((e: unknown) => e);
    expect(err).to.have.property('code', 'log-storage-failed');
    expect(err).to.have.nested.property('cause.code', 'storage-io-failed');
  });
});
