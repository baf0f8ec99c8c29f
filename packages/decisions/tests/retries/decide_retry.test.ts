import {expect} from 'chai';
import fc from 'fast-check';
import {xoroshiro128plus} from 'pure-rand';

import {computeBackOffMs} from '../../src/retries/back_off.js';
import {
  decideRetry,
  type FailedAttempt,
} from '../../src/retries/decide_retry.js';
import {RetryBudget} from '../../src/retries/retry_budget.js';
import {createPolicy} from '../fixtures.js';

const ATTEMPT: FailedAttempt = {
  team: 'a',
  kind: 'k',
  repeatable: true,
  failure: 'error',
  attempts: 1,
  maxAttempts: 3,
  failedUpstreams: 1,
  deadlineAtMs: Infinity,
  expectedRunMs: 100,
};

function createBudget(retries = 10): RetryBudget {
  const result = new RetryBudget();
  result.setPolicy(createPolicy({a: {share: 50, retries}}));
  return result;
}

function decideWith(part: Partial<FailedAttempt>, tokens = createBudget()) {
  return decideRetry({...ATTEMPT, ...part}, tokens, xoroshiro128plus(1), 0);
}

describe('decideRetry', () => {
  for (const [title, part, expected] of [
    [
      'repeats a failed run',
      {},
      {retry: true, answer: 'a.team.retry_budget_percent'},
    ],
    [
      'does not repeat an unrepeatable task that may have started',
      {repeatable: false, failure: 'lost'},
      {retry: false, outcome: 'unknown', answer: 'a.kind:k.repeatable'},
    ],
    [
      'does not repeat an unrepeatable task that failed',
      {repeatable: false},
      {retry: false, outcome: 'failed', reason: 'never-repeated'},
    ],
    [
      'repeats a refused start of any kind',
      {repeatable: false, failure: 'refused'},
      {retry: true},
    ],
    [
      'stops after the last attempt',
      {attempts: 3},
      {retry: false, reason: 'attempts-exhausted'},
    ],
    [
      'stops when another attempt would miss the deadline',
      {deadlineAtMs: 50},
      {retry: false, reason: 'deadline-passed'},
    ],
    [
      'stops for a faulty task',
      {failedUpstreams: 3},
      {retry: false, reason: 'faulty-task'},
    ],
  ] as const) {
    it(title, () => {
      expect(decideWith(part)).to.include(expected);
    });
  }

  it('never repeats a kind that never repeats, whatever else holds', () => {
    const failure = fc.constantFrom(
      'error' as const,
      'stopped' as const,
      'lost' as const,
    );
    fc.assert(
      fc.property(
        failure,
        fc.nat(5),
        fc.nat(5),
        (how, attempts, failedUpstreams) => {
          const part = {
            failure: how,
            attempts,
            failedUpstreams,
            repeatable: false,
          };
          expect(decideWith(part).retry).to.be.false;
        },
      ),
      {seed: 8},
    );
  });
});

describe('RetryBudget', () => {
  it('allows no more than its tokens plus the percentage of starts', () => {
    const tokens = createBudget(10);
    for (let n = 0; n < 200; n++) tokens.started('a');
    let taken = 0;
    while (tokens.takeToken('a') === 'allowed') taken++;
    expect(taken).to.be.within(24, 25);
    expect(tokens.takeToken('a')).to.equal('team-budget-empty');
  });

  it('allows no retry of a team with 0 percent or of an unknown team', () => {
    expect(createBudget(0).takeToken('a')).to.equal('team-budget-empty');
    expect(createBudget().takeToken('b')).to.equal('team-budget-empty');
  });
});

describe('computeBackOffMs', () => {
  it('stays within its growing bound, so retries neither burst nor stall', () => {
    fc.assert(
      fc.property(
        fc.integer(),
        fc.integer({min: 1, max: 100}),
        (seed, attempt) => {
          const delayMs = computeBackOffMs(attempt, xoroshiro128plus(seed));
          expect(delayMs).to.be.within(
            0,
            Math.min(1_000, 5 * 2 ** (attempt - 1)),
          );
        },
      ),
      {seed: 9},
    );
  });
});
