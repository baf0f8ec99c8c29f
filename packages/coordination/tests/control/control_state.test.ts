import {expect} from 'chai';

import {verifyAuditChain} from '../../src/control/audit_chain.js';
import {MAX_AUDIT_TAIL_ENTRIES} from '../../src/control/audit_tail.js';
import type {ControlCommand} from '../../src/control/control_messages.js';
import {ControlState} from '../../src/control/control_state.js';
import {MAX_REMEMBERED_REQUESTS} from '../../src/control/request_history.js';
import {
  abandon,
  accept,
  applyCommands,
  createPolicy,
  DEFINE_GROUP,
  drain,
  FORMED_GROUP,
  register,
} from './control_commands.js';

const ACCEPTED_1 = {outcome: 'accepted', revision: 1};

const RESULTS: readonly [string, readonly ControlCommand[], object][] = [
  ['the refusal of a first change', [accept('r1')], ACCEPTED_1],
  [
    'a second application of a resent request',
    [accept('r1'), accept('r1', {atMs: 9})],
    {outcome: 'repeated', first: ACCEPTED_1},
  ],
  [
    'a request id used for two changes',
    [accept('r1'), accept('r1', {share: 50})],
    {outcome: 'invalid', code: 'request-id-reused'},
  ],
  [
    'a lost update by concurrent operators',
    [accept('r1'), accept('r2', {operator: 'bob'})],
    {
      outcome: 'conflict',
      winner: {operator: 'ada', requestId: 'r1', revision: 1},
    },
  ],
  [
    'a conflict with the answers of another team',
    [accept('r1'), accept('r2', {team: 'floors'})],
    {outcome: 'accepted', revision: 2},
  ],
  [
    'shares above 100 percent over all teams',
    [accept('r1', {share: 60}), accept('r2', {team: 'floors', share: 41})],
    {outcome: 'invalid', code: 'shares-above-100'},
  ],
  [
    'the previous share of the changed team from counting in the sum',
    [accept('r1', {share: 60}), accept('r2', {share: 100, baseRevision: 1})],
    {outcome: 'accepted', revision: 2},
  ],
  [
    'a share that is not a number',
    [accept('r1', {share: NaN})],
    {outcome: 'invalid', code: 'share-out-of-range'},
  ],
  [
    'a base revision that never existed',
    [accept('r1', {baseRevision: 7})],
    {outcome: 'invalid', code: 'no-such-revision'},
  ],
  [
    'a policy stored for another team',
    [accept('r1', {policy: createPolicy('floors', 1)})],
    {outcome: 'invalid', code: 'team-mismatch'},
  ],
  [
    'draining of an unknown instance',
    [drain('i9')],
    {outcome: 'invalid', code: 'unknown-instance'},
  ],
  [
    'a delayed registration of a dead process',
    [register('i1', 'x'), register('i1', 'y'), register('i1', 'x')],
    {outcome: 'invalid', code: 'old-incarnation'},
  ],
  [
    'new voter names under a granted generation',
    [
      ...FORMED_GROUP,
      {...DEFINE_GROUP, groups: [{group: 'a.0', names: ['i1']}]},
    ],
    {outcome: 'invalid', code: 'group-has-generation'},
  ],
  [
    'a delayed abandonment from counting against the next generation',
    [
      ...FORMED_GROUP,
      abandon('i1', 'x'),
      abandon('i2', 'x'),
      abandon('i2', 'x'),
    ],
    {outcome: 'invalid', code: 'old-generation'},
  ],
  [
    'an abandonment by an earlier incarnation',
    [...FORMED_GROUP, register('i1', 'y'), abandon('i1', 'x')],
    {outcome: 'invalid', code: 'old-incarnation'},
  ],
  [
    'an abandonment by an instance that is not a voter',
    [...FORMED_GROUP, register('i9', 'x'), abandon('i9', 'x')],
    {outcome: 'invalid', code: 'not-a-voter-name'},
  ],
];

describe('ControlState', () => {
  for (const [failure, commands, expected] of RESULTS) {
    it(`prevents ${failure}`, () => {
      expect({...applyCommands(commands).last}).to.deep.include(expected);
    });
  }

  it('keeps one frozen policy, so that readers neither copy nor change it', () => {
    const state = new ControlState();
    state.apply(accept('r1', {team: 'z'}), 5);
    state.apply(accept('r2', {team: 'b'}), 6);
    const before = state.policy;
    state.apply(register('i1', 'x'), 7);
    expect(state.policy).to.equal(before);
    expect(before.revision).to.equal(6);
    expect(before.teams.map(each => each.team)).to.deep.equal(['b', 'z']);
    expect(Object.isFrozen(before.teams)).to.equal(true);
  });

  it('gives a revision to one change only, so that a second in the entry conflicts', () => {
    const state = new ControlState();
    state.apply(accept('r1'), 7);
    const second = state.apply(accept('r2', {baseRevision: 7}), 7);
    expect(second.outcome).to.equal('conflict');
    expect(state.policy.teams).to.have.length(1);
    state.apply(accept('r3', {team: 'floors'}), 7);
    expect(state.policy.teams).to.have.length(2);
  });

  it('keeps draining over a restart, so that no operator command is reverted', () => {
    const {state} = applyCommands([
      register('i1', 'x'),
      drain('i1'),
      register('i1', 'y'),
    ]);
    expect(state.instance('i1')?.draining).to.equal(true);
  });

  it('limits the remembered requests and the audit tail', () => {
    const state = new ControlState();
    for (let i = 1; i <= MAX_REMEMBERED_REQUESTS + 1; i++) {
      state.apply(accept(`r${i}`, {baseRevision: 9}), i);
    }
    const again = state.apply(accept('r1', {baseRevision: 9}), 20_000);
    expect(again.outcome).to.equal('invalid');
    const last = state.lastAuditIndex;
    expect(last).to.equal(MAX_REMEMBERED_REQUESTS + 2);
    const first = last - MAX_AUDIT_TAIL_ENTRIES;
    expect(state.getAuditPage(first - 1, 10)).to.equal(undefined);
    const page = state.getAuditPage(first, 1_000);
    expect(page?.entries).to.have.length(MAX_AUDIT_TAIL_ENTRIES);
    expect(
      verifyAuditChain(page?.entries ?? [], page?.previousHash ?? ''),
    ).to.have.property('valid', true);
  });
});
