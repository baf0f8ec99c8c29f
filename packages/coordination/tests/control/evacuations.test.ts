import {expect} from 'chai';
import {pack, unpack} from 'msgpackr';

import {verifyAuditChain} from '../../src/control/audit_chain.js';
import type {
  ControlCommand,
  SetEvacuatedCommand,
} from '../../src/control/control_messages.js';
import {ControlState} from '../../src/control/control_state.js';
import {
  applyCommands,
  DEFINE_GROUP,
  drain,
  register,
} from './control_commands.js';

/** Index of the first order; data centre `a` is defined before it. */
const FIRST = 2;
const STARTED = {outcome: 'accepted', revision: FIRST};

function order(
  requestId: string,
  change: Partial<SetEvacuatedCommand> = {},
): SetEvacuatedCommand {
  return {
    type: 'set-evacuated',
    dataCentre: 'a',
    evacuated: true,
    baseRevision: 0,
    operator: 'ada',
    requestId,
    atMs: 1,
    ...change,
  };
}

const START = order('r1');
const END = order('r2', {evacuated: false, baseRevision: FIRST});

const RESULTS: readonly [string, readonly ControlCommand[], object, boolean][] =
  [
    ['the refusal of a first order', [START], STARTED, true],
    [
      'a second application of a resent request with another base',
      [START, END, order('r1', {baseRevision: 3, atMs: 9})],
      {outcome: 'repeated', first: STARTED},
      false,
    ],
    [
      'a request id used for two orders',
      [START, order('r1', {evacuated: false, baseRevision: FIRST})],
      {outcome: 'invalid', code: 'request-id-reused'},
      true,
    ],
    [
      'a readmission from undoing a newer order for the state in force',
      [
        START,
        order('r2', {baseRevision: FIRST}),
        order('r3', {evacuated: false, baseRevision: FIRST}),
      ],
      {
        outcome: 'conflict',
        winner: {operator: 'ada', requestId: 'r1', revision: 3},
      },
      true,
    ],
    [
      'a late evacuation from undoing a newer readmission',
      [START, END, order('r3', {baseRevision: FIRST})],
      {
        outcome: 'conflict',
        winner: {operator: 'ada', requestId: 'r2', revision: 3},
      },
      false,
    ],
    [
      'a late readmission from undoing a newer evacuation',
      [
        START,
        END,
        order('r3', {baseRevision: 3}),
        order('r4', {evacuated: false, baseRevision: FIRST}),
      ],
      {
        outcome: 'conflict',
        winner: {operator: 'ada', requestId: 'r3', revision: 4},
      },
      true,
    ],
    [
      'the refusal of the second of two racing evacuations',
      [START, order('r2', {operator: 'bob'})],
      STARTED,
      true,
    ],
    [
      'a record for the readmission of a data centre that is in use',
      [order('r1', {evacuated: false})],
      {outcome: 'accepted', revision: 0},
      false,
    ],
    [
      'a base revision that never existed',
      [order('r1', {baseRevision: 7})],
      {outcome: 'invalid', code: 'no-such-revision'},
      false,
    ],
    [
      'the evacuation of an unknown data centre',
      [order('r1', {dataCentre: 'b'})],
      {outcome: 'invalid', code: 'unknown-data-centre'},
      false,
    ],
  ];

describe('evacuations in ControlState', () => {
  for (const [failure, commands, expected, evacuated] of RESULTS) {
    it(`prevents ${failure}`, () => {
      const {state, last} = applyCommands([DEFINE_GROUP, ...commands]);
      expect({...last}).to.deep.include(expected);
      expect(state.evacuation('a')?.evacuated ?? false).to.equal(evacuated);
      expect(state.evacuation('b')).to.equal(undefined);
    });
  }

  it('knows a data centre by a registered instance, before groups are defined', () => {
    const {last} = applyCommands([register('i1', 'x'), START]);
    expect(last).to.deep.equal({outcome: 'accepted', revision: FIRST});
  });

  it('gives a revision to one order only, so that a second in the entry conflicts', () => {
    const state = new ControlState();
    state.apply(DEFINE_GROUP, 1);
    state.apply(START, 7);
    const second = state.apply({...END, baseRevision: 7}, 7);
    expect(second.outcome).to.equal('conflict');
  });

  it('restores snapshots of programs without evacuations, and keeps the field out until it is needed', () => {
    const {state} = applyCommands([register('i1', 'x'), drain('i1')]);
    const before = unpack(state.snapshot()) as Record<string, unknown>;
    expect(before).to.not.have.property('evacuations');
    const copy = new ControlState();
    copy.apply(START, 1);
    copy.restore(pack(before));
    expect(copy.evacuations()).to.deep.equal([]);
    copy.apply(START, 5);
    const after = new ControlState();
    after.restore(copy.snapshot());
    expect(after.evacuations()).to.deep.equal([
      {
        dataCentre: 'a',
        evacuated: true,
        revision: 5,
        changedAtMs: 1,
        operator: 'ada',
        requestId: 'r1',
      },
    ]);
  });

  it('leaves an entry in the audit trail for each order, also for a refused one', () => {
    const late = order('r3', {operator: 'bob', baseRevision: FIRST});
    const {state} = applyCommands([DEFINE_GROUP, START, END, late]);
    const {entries} = state.getAuditTail();
    expect(
      entries.map(
        ({action, operator, fromRevision, toRevision, before, after}) =>
          [action, operator, fromRevision, toRevision, before, after].join(' '),
      ),
    ).to.deep.equal([
      'evacuation ada 0 2 a evacuated=false a evacuated=true',
      'evacuation ada 2 3 a evacuated=true a evacuated=false',
      'evacuation bob 3 3 a evacuated=false a evacuated=true',
    ]);
    expect(entries[2]?.detail).to.equal(
      'conflict: revision 3 by ada, request r2',
    );
    expect(verifyAuditChain(entries, '')).to.have.property('valid', true);
  });
});
