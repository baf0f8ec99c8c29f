import {expect} from 'chai';

import {hasLostQuorum} from '../../src/groups/quorum_loss.js';

const LOG = 'dc1.0@1';

describe('hasLostQuorum', () => {
  const cases = [
    {
      title: 'a survivor blocks the next generation',
      lost: true,
      votes: [[], [], [LOG]],
    },
    {
      title: 'two votes of three are given up',
      lost: false,
      votes: [[], [LOG], [LOG]],
    },
    {
      title: 'an unreachable member counts as without vote',
      lost: false,
      votes: [[], undefined, undefined],
    },
    {
      title: 'an unreachable member prevents a proven loss',
      lost: true,
      votes: [[], [], undefined],
    },
    {
      title: 'half of the members counts as majority',
      lost: false,
      votes: [[], [], undefined, undefined],
    },
    {
      title: 'a vote in another generation counts',
      lost: true,
      votes: [[], ['dc1.0@2'], ['dc1.1@1']],
    },
  ];
  for (const {title, lost, votes} of cases) {
    it(`guards against: ${title}`, () => {
      const members = votes.map((each, i) => ({name: `e${i}`, votes: each}));
      expect(hasLostQuorum(LOG, members)).to.equal(lost);
    });
  }
});
