import {expect} from 'chai';

import {deriveRecordGroupDefinitions} from '../../src/control/group_formation.js';

/** Instances as `name@dataCentre`, with `+` for a disk. */
function instancesOf(text: string) {
  return text.split(' ').map(item => {
    const [name = '', dataCentre = ''] = item.replace('+', '').split('@');
    return {name, dataCentre, address: name, disk: item.endsWith('+')};
  });
}

const CASES: readonly [string, string, number, Record<string, string>][] = [
  [
    'an even count without a tie breaker',
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
  ['a neighbour where there is none', 'a1@a a2@a', 1, {'a.0': 'a1 a2'}],
];

describe('recordGroupDefinitions', () => {
  for (const [guarded, instances, recordGroups, expected] of CASES) {
    it(`prevents ${guarded}`, () => {
      const groups = deriveRecordGroupDefinitions({
        instances: instancesOf(instances),
        recordGroups,
      });
      const found = groups.map(each => [each.group, each.names.join(' ')]);
      expect(Object.fromEntries(found)).to.deep.equal(expected);
    });
  }
});
