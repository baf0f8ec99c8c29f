import {expect} from 'chai';

import {deriveRecordGroupDefinitions} from '../../src/control/group_formation.js';

/** Parses instances written as `name@dataCentre`, with `+` for a disk. */
function parseInstances(text: string) {
  return text.split(' ').map(item => {
    const [name = '', dataCentre = ''] = item.replace('+', '').split('@');
    return {name, dataCentre, address: name, disk: item.endsWith('+')};
  });
}

const CASES: readonly [string, string, number, Record<string, string>][] = [
  [
    'an even number of voters',
    'a1@a+ a2@a b1@b b2@b+ b3@b',
    1,
    {'a.0': 'a1 a2 b2', 'b.0': 'b1 b2 b3'},
  ],
  [
    'a group without any disk',
    'a1@a a2@a a3@a b1@b+ b2@b+ b3@b',
    2,
    {
      'a.0': 'a1 a2 a3 b1',
      'a.1': 'a1 a2 a3 b2',
      'b.0': 'b1 b2 b3',
      'b.1': 'b1 b2 b3',
    },
  ],
  [
    'a neighbour voter when there is only one data centre',
    'a1@a a2@a',
    1,
    {'a.0': 'a1 a2'},
  ],
];

describe('recordGroupDefinitions', () => {
  for (const [failure, instances, recordGroups, expected] of CASES) {
    it(`prevents ${failure}`, () => {
      const groups = deriveRecordGroupDefinitions({
        instances: parseInstances(instances),
        recordGroups,
      });
      const found = groups.map(each => [each.group, each.names.join(' ')]);
      expect(Object.fromEntries(found)).to.deep.equal(expected);
    });
  }
});
