import {expect} from 'chai';

import {OwnerDirectory} from '../../src/gateway/owner_directory.js';
import {settings} from '../fixtures.js';

const GROUP = 'dc1.0';

describe('OwnerDirectory', () => {
  const cases: readonly {
    readonly name: string;
    readonly change: (directory: OwnerDirectory) => void;
    readonly first: string;
  }[] = [
    {
      name: 'asks the owner last',
      change: directory => directory.learn('e3', [GROUP]),
      first: 'e3',
    },
    {
      name: 'keeps an owner that gave the group up',
      change: directory => {
        directory.learn('e3', [GROUP]);
        directory.learn('e3', ['dc1.1']);
      },
      first: 'e1',
    },
    {
      name: 'lets an earlier owner clear the entry of its successor',
      change: directory => {
        directory.learn('e2', [GROUP]);
        directory.learn('e3', [GROUP]);
        directory.learn('e2', []);
      },
      first: 'e3',
    },
    {
      name: 'keeps a corrected owner',
      change: directory => {
        directory.learn('e3', [GROUP]);
        directory.correct(GROUP, 'e2');
      },
      first: 'e2',
    },
    {
      name: 'keeps an owner that is not one',
      change: directory => {
        directory.learn('e3', [GROUP]);
        directory.correct(GROUP, undefined);
      },
      first: 'e1',
    },
  ];
  for (const {name, change, first} of cases) {
    it(`never ${name}, and asks each instance of the home once`, () => {
      const directory = new OwnerDirectory(settings().instances);
      change(directory);
      const candidates = directory.candidates('dc1', GROUP);
      expect(candidates[0]).to.equal(first);
      expect([...candidates].sort()).to.deep.equal(['e1', 'e2', 'e3']);
    });
  }
});
