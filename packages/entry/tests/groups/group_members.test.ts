import type {InstanceAddress} from '@mustardferry/model';
import {expect} from 'chai';

import {groupDefinitions} from '../../src/groups/group_members.js';
import {settings} from '../fixtures.js';

/** Instances from names such as `a1+`: data centre a, `+` for a disk. */
function instances(text: string): readonly InstanceAddress[] {
  return text.split(' ').map((name, index) => ({
    name: name.slice(0, 2),
    dataCentre: name.slice(0, 1),
    address: `127.0.0.1:${index + 1}`,
    disk: name.endsWith('+'),
  }));
}

describe('groupDefinitions', () => {
  const cases = [
    {all: 'a1+ a2 a3 b1+', a: 'a1 a2 a3', why: 'an odd number with a disk'},
    {all: 'a1+ a2 b1 b2+', a: 'a1 a2 b2', why: 'an even number'},
    {all: 'a1 a2 a3 b1 b2+', a: 'a1 a2 a3 b2', why: 'no disk'},
    {all: 'a1 a2 b1 c1+', a: 'a1 a2 c1', why: 'a neighbour without a disk'},
    {all: 'a1 a2 c1 b2 b1', a: 'a1 a2 b1', why: 'no disk anywhere'},
    {all: 'a1+ a2', a: 'a1 a2', why: 'no neighbour'},
    {all: 'a1+', a: 'a1', why: 'a single instance'},
  ];
  for (const {all, a, why} of cases) {
    it(`forms no group without a majority or a disk where one is: ${why}`, () => {
      const list = instances(all);
      const [first] = groupDefinitions(settings({instances: list}));
      expect(first?.members.map(({name}) => name).join(' ')).to.equal(a);
      expect(first?.name).to.equal('a.0');
    });
  }

  it('defines the same groups on every instance, led by different ones', () => {
    const list = instances('a1+ a2 a3 b1+ b2');
    const groups = groupDefinitions(settings({instances: list}));
    const reversed = [...list].reverse();
    const other = settings({instances: reversed, name: 'b2', dataCentre: 'b'});
    expect(groupDefinitions(other)).to.deep.equal(groups);
    expect(groups.map(({name}) => name)).to.deep.equal([
      'a.0',
      'a.1',
      'b.0',
      'b.1',
    ]);
    expect(groups.map(group => group.preferredLeader)).to.deep.equal([
      'a1',
      'a2',
      'b1',
      'b2',
    ]);
    expect(groups[2]?.members.at(-1)?.name, 'lent, with a disk').to.equal('a1');
  });
});
