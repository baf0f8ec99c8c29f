import {expect} from 'chai';

import type {GroupDefinition} from '../../src/groups/group_members.js';
import {betterLeader, successorOf} from '../../src/groups/leader_placement.js';

const DEFINITION: GroupDefinition = {
  name: 'dc1.0',
  dataCentre: 'dc1',
  index: 0,
  members: [
    {name: 'e1', dataCentre: 'dc1', address: '127.0.0.1:1', disk: true},
    {name: 'e2', dataCentre: 'dc1', address: '127.0.0.1:2', disk: false},
    {name: 'e3', dataCentre: 'dc2', address: '127.0.0.1:3', disk: true},
  ],
  preferredLeader: 'e1',
};
const VOTERS = ['e1', 'e2', 'e3'].map(name => ({name, incarnation: 'i'}));

describe('leader placement', () => {
  const cases = [
    {
      name: 'keeps the preferred leader, so that groups do not move for nothing',
      self: 'e1',
      able: ['e1', 'e2', 'e3'],
      better: undefined,
      successor: 'e2',
    },
    {
      name: 'spreads groups by moving to the preferred leader',
      self: 'e2',
      able: ['e1', 'e2', 'e3'],
      better: 'e1',
      successor: 'e1',
    },
    {
      name: 'does not move back to an instance that is shutting down',
      self: 'e2',
      able: ['e2', 'e3'],
      better: undefined,
      successor: 'e3',
    },
    {
      name: 'takes the group back from a lent voter, which serves no jobs',
      self: 'e3',
      able: ['e2', 'e3'],
      better: 'e2',
      successor: 'e2',
    },
    {
      name: 'stays with the lent voter while no other can lead',
      self: 'e3',
      able: ['e3'],
      better: undefined,
      successor: undefined,
    },
  ];
  for (const {name, self, able, better, successor} of cases) {
    it(name, () => {
      const canLead = (each: {readonly name: string}): boolean =>
        able.includes(each.name);
      const args = [self, DEFINITION, VOTERS, canLead] as const;
      expect(betterLeader(...args)?.name).to.equal(better);
      expect(successorOf(...args)?.name).to.equal(successor);
    });
  }
});
