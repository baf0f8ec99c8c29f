import {expect} from 'chai';

import {
  ExpectedGainHedging,
  type HedgeInput,
  NoHedging,
} from '../../src/retries/hedging.js';
import {RetryBudget} from '../../src/retries/retry_budget.js';
import {RunTimeEstimator} from '../../src/routing/run_time_estimator.js';
import {policy} from '../fixtures.js';

const QUESTION: HedgeInput = {
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

function hedging(retries = 10): ExpectedGainHedging {
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
  budget.setPolicy(policy({a: {share: 50, retries}}));
  return new ExpectedGainHedging(estimator, budget);
}

describe('ExpectedGainHedging', () => {
  for (const [title, part, reason] of [
    ['copies a straggler', {}, 'hedge-gain'],
    [
      'copies no task that is long on a healthy upstream',
      {lateFraction: 0},
      'hedge-gain-too-small',
    ],
    [
      'never copies a kind that never repeats',
      {repeatable: false},
      'never-repeated',
    ],
    ['copies nothing that is on time', {elapsedMs: 80}, 'hedge-gain-too-small'],
    [
      'respects a high price of messages',
      {wastedMessageCostMs: 5_000},
      'hedge-gain-too-small',
    ],
    ['sends no third copy', {copies: 2}, 'attempts-exhausted'],
  ] as const) {
    it(title, () => {
      const decision = hedging().decideHedge({...QUESTION, ...part});
      expect(decision).to.include({reason, hedge: reason === 'hedge-gain'});
    });
  }

  it('stops when the budget of the team is empty', () => {
    expect(hedging(0).decideHedge(QUESTION)).to.include({
      hedge: false,
      reason: 'team-budget-empty',
    });
  });

  it('is never asked about a kind that never repeats', () => {
    expect(
      hedging().computeFirstCheckMs({...QUESTION, repeatable: false}),
    ).to.equal(Infinity);
    expect(new NoHedging().decideHedge().hedge).to.be.false;
  });
});
