import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import type {OpenFile} from '../src/file_system.js';
import {Journal} from '../src/journal.js';
import type {JournalWrite} from '../src/segment_writer.js';
import {SimulatedFileSystem} from '../src/simulated_file_system.js';

const WRITE_MS = 3;
const SYNC_MS = 40;

describe('SegmentWriter', () => {
  let clock: Clock;
  let writes: JournalWrite[];

  beforeEach(() => {
    clock = fakeTimers.install({toFake: ['performance']});
    writes = [];
  });

  afterEach(() => clock.uninstall());

  /** Its files take time on the fake clock. */
  class SlowFiles extends SimulatedFileSystem {
    override async open(path: string): Promise<OpenFile> {
      const file = await super.open(path);
      const write = file.write.bind(file);
      const sync = file.sync.bind(file);
      file.write = (bytes, position) => {
        clock.tick(WRITE_MS);
        return write(bytes, position);
      };
      file.sync = () => {
        clock.tick(SYNC_MS);
        return sync();
      };
      return file;
    }
  }

  function open(segmentBytes: number) {
    return Journal.open({
      files: new SlowFiles(),
      folder: '/data/journal',
      segmentBytes,
      onWritten: write => writes.push(write),
    });
  }

  // Guards against a slow sync that hides in the time of the write.
  it('tells the times of a write and of its sync apart, once a batch', async () => {
    const journal = await open(1_000_000);
    await Promise.all([
      journal.append([Buffer.from('a')]),
      journal.append([Buffer.from('b')]),
    ]);
    expect(writes).to.have.length(1);
    expect(writes[0]).to.include({writeMs: WRITE_MS, syncMs: SYNC_MS});
    expect(writes[0]?.bytes).to.be.above(2);
  });

  // Guards against commits that wait for a new segment without a trace.
  it('counts the time for a new segment as that of the write', async () => {
    const journal = await open(1);
    await journal.append([Buffer.from('a')]);
    await journal.append([Buffer.from('b')]);
    const withSegment = WRITE_MS + SYNC_MS + WRITE_MS;
    expect(writes[1]).to.include({writeMs: withSegment, syncMs: SYNC_MS});
  });
});
