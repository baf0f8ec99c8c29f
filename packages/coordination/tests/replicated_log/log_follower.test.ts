import {expect} from 'chai';

import type {FetchedLog} from '../../src/replicated_log/log_feed.js';
import {LogFollower} from '../../src/replicated_log/log_follower.js';
import {ListMachine} from './list_machine.js';

function entries(first: number, last: number): FetchedLog<string> {
  const list = Array.from({length: last - first + 1}, (_, i) => ({
    index: first + i,
    term: 1,
    commands: [`${first + i}`],
    durable: false,
  }));
  return {
    kind: 'entries',
    entries: list,
    commitIndex: last,
    confirmedMsAgo: 40,
  };
}

function snapshot(index: number): FetchedLog<string> {
  const items = Array.from({length: index}, (_, i) => `${i + 1}`);
  const data = Buffer.from(JSON.stringify(items));
  return {
    kind: 'snapshot',
    index,
    data,
    commitIndex: index,
    confirmedMsAgo: 40,
  };
}

describe('LogFollower', () => {
  const cases = [
    {name: 'a repeated answer', next: entries(1, 3), applied: 3},
    {name: 'a late older answer', next: entries(1, 2), applied: 3},
    {name: 'an older snapshot', next: snapshot(2), applied: 3},
    {name: 'an answer after a gap', next: entries(5, 6), applied: 3},
    {name: 'an overlapping answer', next: entries(2, 5), applied: 5},
    {name: 'a newer snapshot', next: snapshot(9), applied: 9},
  ];
  for (const {name, next, applied} of cases) {
    it(`does not revert or skip after ${name}`, () => {
      const machine = new ListMachine();
      const follower = new LogFollower({machine});
      follower.applyFetched(entries(1, 3));
      follower.applyFetched(next);
      expect(follower.appliedIndex).to.equal(applied);
      expect(machine.items.at(-1)).to.equal(`${applied}`);
      expect(machine.items).to.have.length(applied);
    });
  }

  it('passes on entries, a snapshot for those no longer kept, and the age', () => {
    const follower = new LogFollower({
      machine: new ListMachine(),
      maxKeptEntries: 2,
    });
    expect(follower.confirmedMsAgo).to.equal(Number.POSITIVE_INFINITY);
    follower.applyFetched(entries(1, 5));
    expect(follower.fetch(0, 10).kind).to.equal('snapshot');
    const fetched = follower.fetch(3, 10);
    expect(fetched).to.have.property('entries').with.length(2);
    expect(fetched.confirmedMsAgo).to.be.at.least(40);
  });
});
