import {expect} from 'chai';

import {sliceEntries} from '../../src/replicated_log/entry_slices.js';
import type {LogEntry} from '../../src/replicated_log/log_entries.js';

const LIMITS = {maxEntriesPerMessage: 4, maxBytesPerMessage: 100};

function createLog(sizes: readonly number[]): LogEntry<string>[] {
  return sizes.map((bytes, n) => ({
    index: n + 1,
    term: 1,
    commands: [],
    bytes,
    durable: false,
  }));
}

describe('sliceEntries: a message to a lagging member has a bounded size', () => {
  const cases = [
    {title: 'few small entries', sizes: [10, 10], offset: 0, indexes: [1, 2]},
    {
      title: 'more entries than fit',
      sizes: [1, 1, 1, 1, 1],
      offset: 0,
      indexes: [1, 2, 3, 4],
    },
    {
      title: 'more bytes than fit',
      sizes: [60, 40, 1],
      offset: 0,
      indexes: [1, 2],
    },
    {
      title: 'an entry above the limit goes alone',
      sizes: [500, 1],
      offset: 0,
      indexes: [1],
    },
    {title: 'an offset', sizes: [500, 90, 20], offset: 1, indexes: [2]},
    {title: 'nothing left', sizes: [1], offset: 1, indexes: []},
  ] as const;

  for (const {title, sizes, offset, indexes} of cases) {
    it(title, () => {
      const slice = sliceEntries(createLog(sizes), offset, LIMITS);
      expect(slice.map(({index}) => index)).to.deep.equal(indexes);
    });
  }

  it('counts entries of earlier versions, whose size is not stored, as empty', () => {
    const entry = {index: 1, term: 1, commands: ['x'], durable: false};
    expect(sliceEntries([entry, entry], 0, LIMITS)).to.have.length(2);
  });
});
