import type {AuditEntry} from '@mustardferry/model';
import {expect} from 'chai';

import {verifyAuditChain} from '../../src/control/audit_chain.js';
import {accept, applyCommands, drain, register} from './control_commands.js';

describe('verifyAuditChain', () => {
  const {state} = applyCommands([
    accept('r1'),
    accept('r2', {operator: 'bob'}),
    register('i1', 'x'),
    drain('i1'),
    accept('r3', {baseRevision: 1, share: 70}),
  ]);
  const trail = state.getAuditPage(0, 100)?.entries ?? [];
  const [e1, e2, e3, e4] = trail as [
    AuditEntry,
    AuditEntry,
    AuditEntry,
    AuditEntry,
  ];

  it('records refused changes and draining, so that none goes unnoticed', () => {
    expect(trail.map(entry => entry.action)).to.deep.equal([
      'answers-accepted',
      'answers-refused',
      'drain',
      'answers-accepted',
    ]);
    expect(e4).to.include({
      fromRevision: 1,
      toRevision: 5,
      before: 'share = 40',
      after: 'share = 70',
    });
    expect(e2.detail).to.contain('revision 1 by ada, request r1');
  });

  const faults: readonly [string, readonly AuditEntry[], object][] = [
    ['an intact trail', [e1, e2, e3, e4], {valid: true, lastHash: e4.hash}],
    [
      'a changed entry',
      [e1, {...e2, operator: 'eve'}, e3, e4],
      {valid: false, index: 2, fault: 'changed'},
    ],
    [
      'a missing entry',
      [e1, e3, e4],
      {valid: false, index: 2, fault: 'missing'},
    ],
    [
      'a missing first entry',
      [e2, e3, e4],
      {valid: false, index: 1, fault: 'missing'},
    ],
    [
      'reordered entries',
      [e1, e3, e2, e4],
      {valid: false, index: 2, fault: 'reordered'},
    ],
    [
      'a missing entry with renumbered followers',
      [e1, {...e3, index: 2}, {...e4, index: 3}],
      {valid: false, index: 2, fault: 'changed'},
    ],
  ];
  for (const [name, entries, expected] of faults) {
    it(`reports ${name}`, () => {
      expect(verifyAuditChain(entries, '')).to.deep.equal(expected);
    });
  }

  it('checks a page from the middle against the hash before it', () => {
    const page = state.getAuditPage(2, 1);
    expect(verifyAuditChain(page?.entries ?? [], e2.hash)).to.deep.equal({
      valid: true,
      lastHash: e3.hash,
    });
    expect(verifyAuditChain([e4], e2.hash).valid).to.equal(false);
  });
});
