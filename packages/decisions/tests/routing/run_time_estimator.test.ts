import {expect} from 'chai';
import {xoroshiro128plus} from 'pure-rand';

import {drawLogNormal} from '../../src/benchmarks/simulated_instance.js';
import {RunTimeEstimator} from '../../src/routing/run_time_estimator.js';

const INPUT = {team: 'a', kind: 'k', upstream: 'u', declaredMs: 1_000};

function createEstimator(
  runs: readonly number[],
  upstream = 'u',
  estimator = new RunTimeEstimator(),
): RunTimeEstimator {
  for (const [now, runMs] of runs.entries()) {
    estimator.observe(
      {team: 'a', kind: 'k', upstream, runMs, endedAtMs: now},
      now,
    );
  }
  return estimator;
}

describe('RunTimeEstimator', () => {
  it('uses the declared time until a run was measured', () => {
    expect(new RunTimeEstimator().estimate(INPUT)).to.include({
      p50Ms: 1_000,
      source: 'declared',
    });
  });

  for (const sigma of [0.1, 0.5, 1]) {
    it(`finds p50 and p95 of runs with spread ${sigma}, whatever was declared`, () => {
      const rng = xoroshiro128plus(5);
      const runs = Array.from(
        {length: 4_000},
        () => 80 * drawLogNormal(rng, sigma),
      );
      const {p50Ms, p95Ms} = createEstimator(runs).estimate(INPUT);
      expect(p50Ms).to.be.within(
        80 * Math.exp(-0.3 * sigma),
        80 * Math.exp(0.3 * sigma),
      );
      const p95 = 80 * Math.exp(1.645 * sigma);
      expect(p95Ms).to.be.within(
        p95 * Math.exp(-0.5 * sigma),
        p95 * Math.exp(0.5 * sigma),
      );
    });
  }

  it('is not moved far by outliers of 1,000 times the run time', () => {
    const runs = Array.from({length: 400}, (_, n) =>
      n % 50 === 49 ? 100_000 : 95 + (n % 11),
    );
    expect(createEstimator(runs).estimate(INPUT).p50Ms).to.be.within(80, 125);
  });

  it('ignores a report that comes a minute late', () => {
    const estimator = createEstimator(Array<number>(50).fill(100));
    const before = estimator.estimate(INPUT);
    estimator.observe(
      {team: 'a', kind: 'k', upstream: 'u', runMs: 9_000, endedAtMs: 0},
      70_000,
    );
    expect(estimator.estimate(INPUT)).to.deep.equal(before);
  });

  it('predicts a kind on an upstream from its speed with other kinds', () => {
    const estimator = new RunTimeEstimator();
    for (let now = 0; now < 600; now++) {
      const slow = now % 2 === 0;
      const upstream = slow ? 'slow' : 'fast';
      estimator.observe(
        {
          team: 'a',
          kind: 'k',
          upstream,
          runMs: slow ? 300 : 100,
          endedAtMs: now,
        },
        now,
      );
      if (!slow)
        estimator.observe(
          {team: 'a', kind: 'other', upstream, runMs: 10, endedAtMs: now},
          now,
        );
    }
    const estimate = estimator.estimate({
      ...INPUT,
      kind: 'other',
      upstream: 'slow',
    });
    expect(estimate.source).to.equal('kind-and-speed');
    expect(estimate.p50Ms).to.be.within(20, 45);
  });

  it('bounds its memory and evicts the oldest pairs first', () => {
    const estimator = new RunTimeEstimator({maxPairs: 10});
    for (let n = 0; n < 100; n++) createEstimator([100], `u${n}`, estimator);
    const samples = (n: number) =>
      estimator.estimate({...INPUT, upstream: `u${n}`}).samples;
    expect(samples(0)).to.equal(0);
    expect(samples(99)).to.equal(1);
  });
});
