import type {Submission} from '@mustardferry/model';
import {expect} from 'chai';

import {
  computeBodyDigest,
  toCanonicalJson,
} from '../../src/jobs/body_digest.js';

function submission(payload: unknown, change: Partial<Submission> = {}) {
  const tasks = [{id: 't', payload}];
  return {team: 'a', kind: 'b', idempotencyKey: 'k', tasks, ...change};
}

describe('computeBodyDigest', () => {
  const equal = [
    [
      'members in another order',
      {a: 1, b: {c: 2, d: 3}},
      {b: {d: 3, c: 2}, a: 1},
    ],
    ['an absent member sent as undefined', {a: 1}, {a: 1, b: undefined}],
  ] as const;
  for (const [name, a, b] of equal) {
    it(`does not report a conflict for ${name}`, () => {
      expect(computeBodyDigest(submission(a))).to.equal(
        computeBodyDigest(submission(b)),
      );
    });
  }

  const different = [
    ['items in another order', [1, 2], [2, 1]],
    ['a number and its text', 1, '1'],
    ['null and an absent member', {a: null}, {}],
    ['an array and an object', ['x'], {0: 'x'}],
    ['a member named __proto__', JSON.parse('{"__proto__":1}') as unknown, {}],
  ] as const;
  for (const [name, a, b] of different) {
    it(`distinguishes different bodies: ${name}`, () => {
      expect(computeBodyDigest(submission(a))).not.to.equal(
        computeBodyDigest(submission(b)),
      );
    });
  }

  it('distinguishes bodies that differ outside the payload', () => {
    const bodies = [
      submission(1),
      submission(1, {team: 'x'}),
      submission(1, {kind: 'x'}),
      submission(1, {deadlineMs: 5}),
    ];
    expect(
      new Set(bodies.map(body => computeBodyDigest(body))),
    ).to.have.property('size', 4);
    const otherKey = submission(1, {idempotencyKey: 'other'});
    expect(computeBodyDigest(otherKey)).to.equal(
      computeBodyDigest(submission(1)),
    );
  });

  it('rejects a payload that would overflow the stack', () => {
    const deep = JSON.parse('['.repeat(50_000) + ']'.repeat(50_000)) as unknown;
    expect(() => toCanonicalJson(deep)).to.throw('nested deeper than');
  });
});
