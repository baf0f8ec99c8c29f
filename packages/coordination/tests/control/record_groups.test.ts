import {expect} from 'chai';

import type {ControlCommand} from '../../src/control/control_messages.js';
import {abandon, DEFINE, GROUP, register, run} from './control_commands.js';

const GENERATIONS: readonly [string, readonly ControlCommand[], number][] = [
  ['a group formed by a minority', GROUP.slice(0, 2), 0],
  ['a group that waits for its last name', GROUP, 1],
  ['an order of definition that matters', [...GROUP.slice(1), DEFINE], 1],
  ['a generation given up by a minority', [...GROUP, abandon('i1', 'x')], 1],
  [
    'one promise counted twice',
    [...GROUP, abandon('i1', 'x'), abandon('i1', 'x')],
    1,
  ],
  [
    'two live generations after a restart between the promises',
    [...GROUP, abandon('i1', 'x'), register('i1', 'y'), abandon('i2', 'x')],
    1,
  ],
  [
    'a lost promise after a repeated registration',
    [...GROUP, abandon('i1', 'x'), register('i1', 'x'), abandon('i2', 'x')],
    2,
  ],
];

describe('RecordGroups', () => {
  for (const [guarded, commands, generation] of GENERATIONS) {
    it(`prevents ${guarded}`, () => {
      const current = run(commands).state.group('a.0')?.current;
      expect(current?.generation ?? 0).to.equal(generation);
    });
  }

  it('grants at the latest promise, so that no lost admission seems newer', () => {
    const {state} = run([...GROUP, abandon('i1', 'x'), abandon('i2', 'x')]);
    expect(state.group('a.0')?.current).to.deep.equal({
      group: 'a.0',
      generation: 2,
      grantedAtMs: 90,
      voters: [
        {name: 'i1', incarnation: 'x'},
        {name: 'i2', incarnation: 'x'},
        {name: 'i3', incarnation: 'absent'},
      ],
    });
  });
});
