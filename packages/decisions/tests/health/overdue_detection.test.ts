import {expect} from 'chai';

import {OverdueDetection} from '../../src/health/overdue_detection.js';
import {RunTimeEstimator} from '../../src/routing/run_time_estimator.js';

const PENDING = {
  team: 'a',
  kind: 'k',
  upstream: 'u',
  declaredMs: 100,
  startedAtMs: 0,
  queries: 0,
};

describe('OverdueDetection', () => {
  const detection = new OverdueDetection(new RunTimeEstimator());
  for (const [title, queries, now, expected] of [
    [
      'does not query a run that is on time',
      0,
      599,
      {query: false, nextCheckAtMs: 600},
    ],
    ['queries an overdue run', 0, 600, {query: true, nextCheckAtMs: 1_200}],
    [
      'doubles the time between queries',
      2,
      2_399,
      {query: false, nextCheckAtMs: 2_400},
    ],
    [
      'schedules no check after the last query',
      3,
      4_800,
      {query: true, nextCheckAtMs: Infinity},
    ],
    [
      'sends no query beyond the limit',
      4,
      1e9,
      {query: false, nextCheckAtMs: Infinity},
    ],
  ] as const) {
    it(title, () => {
      expect(detection.decideQuery({...PENDING, queries}, now)).to.include(
        expected,
      );
    });
  }
});
