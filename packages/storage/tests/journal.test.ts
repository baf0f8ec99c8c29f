import {expect} from 'chai';

import {Journal} from '../src/journal.js';
import {SimulatedFileSystem} from '../src/simulated_file_system.js';
import {JournalCorruptError} from '../src/storage_errors.js';

const FOLDER = '/data/journal';
const FIRST_SEGMENT = `${FOLDER}/0000000000000001.journal`;

function records(...texts: string[]): Uint8Array[] {
  return texts.map(text => Buffer.from(text));
}

function open(files: SimulatedFileSystem, segmentBytes = 1_000_000) {
  return Journal.open({files, folder: FOLDER, segmentBytes});
}

async function texts(journal: Journal): Promise<string[]> {
  const all = await journal.readAll();
  return all.map(each => `${each.index}${Buffer.from(each.payload)}`);
}

async function codeOf(pending: Promise<unknown>): Promise<string> {
  const err: unknown = await pending.then(
    () => ({code: 'none'}),
    (reason: unknown) => reason,
  );
  return (err as {code: string}).code;
}

async function filled(segmentBytes?: number) {
  const files = new SimulatedFileSystem();
  const journal = await open(files, segmentBytes);
  for (const text of ['a', 'b', 'c']) await journal.append(records(text));
  return {files, journal};
}

/** Flips a bit of the byte at an offset, counted from the end if negative. */
function flip(offset: number) {
  return (content: Buffer): Buffer => {
    const at = offset < 0 ? content.length + offset : offset;
    content.writeUInt8(content.readUInt8(at) ^ 1, at);
    return content;
  };
}

describe('Journal', () => {
  it('keeps acknowledged records over a crash', async () => {
    const {files} = await filled();
    files.crash();
    const journal = await open(files);
    expect(await texts(journal)).to.deep.equal(['1a', '2b', '3c']);
    expect(journal.tornTail).to.equal(undefined);
  });

  for (const kept of [1, 23, 24, 30]) {
    it(`cuts off and reports ${kept} bytes of a torn batch`, async () => {
      const {files, journal} = await filled();
      files.fail('sync', 'EIO');
      const big = 'x'.repeat(9);
      expect(await codeOf(journal.append(records(big)))).to.equal(
        'storage-io-failed',
      );
      files.crash(kept);
      const again = await open(files);
      expect(await texts(again)).to.deep.equal(['1a', '2b', '3c']);
      expect(again.tornTail).to.include({
        file: FIRST_SEGMENT,
        droppedBytes: kept,
      });
      await again.append(records('d'));
      files.crash();
      expect(await texts(await open(files))).to.have.length(4);
    });
  }

  it('takes a hole inside an unsynced batch for a torn write', async () => {
    const files = new SimulatedFileSystem();
    const journal = await open(files);
    await journal.append(records('a'));
    await journal.append(records('b', 'c'));
    files.damage(FIRST_SEGMENT, flip(16 + 25 + 24));
    const again = await open(files);
    expect(await texts(again)).to.deep.equal(['1a']);
    expect(again.tornTail?.droppedBytes).to.equal(50);
  });

  const damages: readonly [string, number, (content: Buffer) => Buffer][] = [
    ['a payload', 16, flip(16 + 24)],
    ['a length', 41, flip(41 + 4)],
    ['a frame mark', 41, flip(41)],
    ['the header', 0, flip(9)],
    [
      'a cut out record',
      41,
      c => Buffer.concat([c.subarray(0, 41), c.subarray(66)]),
    ],
  ];
  for (const [what, offset, change] of damages) {
    it(`refuses to drop synced records after damage to ${what}`, async () => {
      const {files} = await filled();
      files.damage(FIRST_SEGMENT, change);
      const err: unknown = await open(files).catch((err: unknown) => err);
      expect(err).to.be.instanceOf(JournalCorruptError);
      expect(err).to.include({file: FIRST_SEGMENT, offset});
    });
  }

  it('refuses to open without a segment from the middle', async () => {
    const {files} = await filled(1);
    await files.remove(`${FOLDER}/0000000000000002.journal`);
    expect(await codeOf(open(files))).to.equal('journal-corrupt');
  });

  it('refuses damage to the end of an older segment', async () => {
    const {files} = await filled(1);
    files.damage(FIRST_SEGMENT, content => content.subarray(0, -1));
    expect(await codeOf(open(files))).to.equal('journal-corrupt');
  });

  it('syncs once for all appends that wait', async () => {
    const {files, journal} = await filled();
    const before = files.calls.get('sync') ?? 0;
    await Promise.all(
      Array.from({length: 100}, () => journal.append(records('x'))),
    );
    expect((files.calls.get('sync') ?? 0) - before).to.equal(1);
  });

  const failures = [
    ['sync', 'EIO', 'storage-io-failed'],
    ['write', 'ENOSPC', 'storage-full'],
    ['write', 'EROFS', 'storage-read-only'],
  ] as const;
  for (const [operation, system, code] of failures) {
    it(`accepts nothing after ${system} at ${operation}`, async () => {
      const {files, journal} = await filled();
      files.fail(operation, system);
      const first = journal.append(records('d'));
      const waiting = journal.append(records('e'));
      expect(await codeOf(first)).to.equal(code);
      expect(await codeOf(waiting)).to.equal(code);
      files.fail(operation, undefined);
      expect(await codeOf(journal.append(records('f')))).to.equal(
        'journal-failed',
      );
      files.crash();
      expect(await texts(await open(files))).to.have.length(3);
    });
  }

  it('cuts off a write that the full disk took in part', async () => {
    const {files, journal} = await filled();
    files.limitSpace(30);
    const text = 'x'.repeat(50);
    expect(await codeOf(journal.append(records(text)))).to.equal(
      'storage-full',
    );
    files.crash(30);
    expect((await open(files)).tornTail?.droppedBytes).to.equal(30);
  });

  it('reports a read-only folder by type when it is opened', async () => {
    const files = new SimulatedFileSystem();
    files.fail('open', 'EROFS');
    expect(await codeOf(open(files))).to.equal('storage-read-only');
  });

  for (const segmentBytes of [1, 1_000_000]) {
    it(`drops a tail for good, segments of ${segmentBytes} bytes`, async () => {
      const {files, journal} = await filled(segmentBytes);
      const cut = journal.truncateFrom(2);
      await Promise.all([cut, journal.append(records('z'))]);
      files.crash();
      const again = await open(files, segmentBytes);
      expect(await texts(again)).to.deep.equal(['1a', '2z']);
    });
  }

  it('drops old segments and keeps numbers after a snapshot', async () => {
    const {files, journal} = await filled(1);
    await journal.truncateBefore(3);
    files.crash();
    const again = await open(files, 1);
    expect(await texts(again)).to.deep.equal(['3c']);
    expect([again.firstIndex, again.nextIndex]).to.deep.equal([3, 4]);
    await again.truncateBefore(99);
    await again.append(records('d'));
    files.crash();
    expect(await texts(await open(files, 1))).to.deep.equal(['4d']);
  });

  it('answers every append when it is closed', async () => {
    const {journal} = await filled();
    const waiting = journal.append(records('d'));
    await journal.close();
    await waiting;
    expect(await codeOf(journal.append([]))).to.equal('journal-closed');
  });
});
