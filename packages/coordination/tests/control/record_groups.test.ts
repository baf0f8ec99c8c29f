import {expect} from 'chai';

import type {ControlCommand} from '../../src/control/control_messages.js';
import {
  abandon,
  applyCommands,
  DEFINE_GROUP,
  FORMED_GROUP,
  register,
} from './control_commands.js';

const GENERATIONS: readonly [string, readonly ControlCommand[], number][] = [
  ['a first generation granted to a minority', FORMED_GROUP.slice(0, 2), 0],
  ['a group that waits for its last voter', FORMED_GROUP, 1],
  [
    'a group without a generation when defined after its voters registered',
    [...FORMED_GROUP.slice(1), DEFINE_GROUP],
    1,
  ],
  [
    'a generation abandoned by a minority',
    [...FORMED_GROUP, abandon('i1', 'x')],
    1,
  ],
  [
    'an abandonment counted twice',
    [...FORMED_GROUP, abandon('i1', 'x'), abandon('i1', 'x')],
    1,
  ],
  [
    'two active generations after a restart between the abandonments',
    [
      ...FORMED_GROUP,
      abandon('i1', 'x'),
      register('i1', 'y'),
      abandon('i2', 'x'),
    ],
    1,
  ],
  [
    'an abandonment lost by a repeated registration',
    [
      ...FORMED_GROUP,
      abandon('i1', 'x'),
      register('i1', 'x'),
      abandon('i2', 'x'),
    ],
    2,
  ],
];

describe('RecordGroups', () => {
  for (const [failure, commands, generation] of GENERATIONS) {
    it(`prevents ${failure}`, () => {
      const current = applyCommands(commands).state.group('a.0')?.current;
      expect(current?.generation ?? 0).to.equal(generation);
    });
  }

  it('grants at the latest abandonment, so that lost admissions are older', () => {
    const {state} = applyCommands([
      ...FORMED_GROUP,
      abandon('i1', 'x'),
      abandon('i2', 'x'),
    ]);
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
