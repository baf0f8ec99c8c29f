import {expect} from 'chai';

import {
  getVoterCount,
  mayBecomeVoter,
} from '../../src/instance/voter_placement.js';

function createMembers(...dataCentres: string[]) {
  return dataCentres.map((dataCentre, i) => ({address: `m${i}`, dataCentre}));
}

describe('mayBecomeVoter', () => {
  const cases = [
    {
      description:
        'a third voter in a data centre, whose loss would cost the majority',
      targetVoters: 5,
      dataCentres: ['a', 'a', 'b', 'c', 'a'],
      voters: ['m0', 'm1', 'm2', 'm3'],
      candidate: 4,
      allowed: false,
    },
    {
      description:
        'a second voter while the other data centres keep a majority',
      targetVoters: 5,
      dataCentres: ['a', 'b', 'c', 'a'],
      voters: ['m0', 'm1', 'm2'],
      candidate: 3,
      allowed: true,
    },
    {
      description:
        'a new incarnation of a voter, even if its data centre is full',
      targetVoters: 3,
      dataCentres: ['a', 'b', 'c'],
      voters: ['m0', 'm1', 'm2'],
      candidate: 0,
      allowed: true,
    },
    {
      description: 'a substitute in the data centre of a disconnected voter',
      targetVoters: 3,
      dataCentres: ['b', 'c', 'a'],
      voters: ['m0', 'm1'],
      candidate: 2,
      allowed: true,
    },
    {
      description: 'all members if there is only one data centre',
      targetVoters: 3,
      dataCentres: ['a', 'a', 'a'],
      voters: ['m0', 'm1'],
      candidate: 2,
      allowed: true,
    },
  ];
  for (const {description, dataCentres, candidate, allowed, ...rest} of cases) {
    it(`${allowed ? 'allows' : 'refuses'} ${description}`, () => {
      const members = createMembers(...dataCentres);
      const member = members[candidate] ?? {address: '', dataCentre: ''};
      expect(mayBecomeVoter(member, {...rest, members})).to.equal(allowed);
    });
  }

  it('requires enough voters to keep a majority through the failures', () => {
    expect([1, 2, 3].map(getVoterCount)).to.deep.equal([3, 5, 7]);
  });
});
