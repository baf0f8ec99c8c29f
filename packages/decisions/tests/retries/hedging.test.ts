import {expect} from 'chai';

import {
  ExpectedGainHedging,
  type HedgeInput,
  NoHedging,
} from '../../src/retries/hedging.js';
import {RetryBudget} from '../../src/retries/retry_budget.js';
import {RunTimeEstimator} from '../../src/routing/run_time_estimator.js';
import {createPolicy} from '../fixtures.js';

const INPUT: HedgeInput = {
  team: 'a',
  kind: 'k',
  repeatable: true,
  declaredMs: 100,
  upstream: 'u1',
  elapsedMs: 2_000,
  alternative: 'u2',
  copies: 1,
  wastedMessageCostMs: 50,
};

function createHedging(retries = 10): ExpectedGainHedging {
  const estimator = new RunTimeEstimator();
  for (let now = 0; now < 200; now++) {
    for (const upstream of ['u1', 'u2']) {
      estimator.observe(
        {
          team: 'a',
          kind: 'k',
          upstream,
          runMs: 90 + (now % 21),
          endedAtMs: now,
        },
        now,
      );
    }
  }
  const budget = new RetryBudget();
  budget.setPolicy(createPolicy({a: {share: 50, retries}}));
  return new ExpectedGainHedging(estimator, budget);
}

describe('ExpectedGainHedging', () => {
  for (const [title, part, reason] of [
    ['hedges a straggler', {}, 'hedge-gain'],
    [
      'does not hedge a long task on a healthy upstream',
      {lateFraction: 0},
      'hedge-gain-too-small',
    ],
    [
      'does not hedge a kind that never repeats',
      {repeatable: false},
      'never-repeated',
    ],
    [
      'does not hedge a task that is on time',
      {elapsedMs: 80},
      'hedge-gain-too-small',
    ],
    [
      'does not hedge when a wasted message costs more than the gain',
      {wastedMessageCostMs: 5_000},
      'hedge-gain-too-small',
    ],
    ['runs no third copy', {copies: 2}, 'attempts-exhausted'],
  ] as const) {
    it(title, () => {
      const decision = createHedging().decideHedge({...INPUT, ...part});
      expect(decision).to.include({reason, hedge: reason === 'hedge-gain'});
    });
  }

  it('does not hedge when the budget of the team is empty', () => {
    expect(createHedging(0).decideHedge(INPUT)).to.include({
      hedge: false,
      reason: 'team-budget-empty',
    });
  });

  it('schedules no check for a kind that never repeats', () => {
    expect(
      createHedging().computeFirstCheckMs({...INPUT, repeatable: false}),
    ).to.equal(Infinity);
    expect(new NoHedging().decideHedge().hedge).to.be.false;
  });
});
