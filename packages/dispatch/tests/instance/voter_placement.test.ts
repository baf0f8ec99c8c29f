import {expect} from 'chai';

import {mayVote, votersFor} from '../../src/instance/voter_placement.js';

function members(...places: string[]) {
  return places.map((dataCentre, i) => ({address: `m${i}`, dataCentre}));
}

describe('mayVote', () => {
  const cases = [
    {
      what: 'a third vote in a data centre, whose loss would stop the group',
      targetVoters: 5,
      places: ['a', 'a', 'b', 'c', 'a'],
      voters: ['m0', 'm1', 'm2', 'm3'],
      asks: 4,
      allowed: false,
    },
    {
      what: 'a second vote where the others hold a majority without it',
      targetVoters: 5,
      places: ['a', 'b', 'c', 'a'],
      voters: ['m0', 'm1', 'm2'],
      asks: 3,
      allowed: true,
    },
    {
      what: 'a new life of a voter, also where its data centre is full',
      targetVoters: 3,
      places: ['a', 'b', 'c'],
      voters: ['m0', 'm1', 'm2'],
      asks: 0,
      allowed: true,
    },
    {
      what: 'a substitute in the data centre of a voter that is gone',
      targetVoters: 3,
      places: ['b', 'c', 'a'],
      voters: ['m0', 'm1'],
      asks: 2,
      allowed: true,
    },
    {
      what: 'all members of the only data centre',
      targetVoters: 3,
      places: ['a', 'a', 'a'],
      voters: ['m0', 'm1'],
      asks: 2,
      allowed: true,
    },
  ];
  for (const {what, places, asks, allowed, ...rest} of cases) {
    it(`${allowed ? 'allows' : 'refuses'} ${what}`, () => {
      const known = members(...places);
      const member = known[asks] ?? {address: '', dataCentre: ''};
      expect(mayVote(member, {...rest, members: known})).to.equal(allowed);
    });
  }

  it('asks for a majority that survives the losses', () => {
    expect([1, 2, 3].map(votersFor)).to.deep.equal([3, 5, 7]);
  });
});
