import {expect} from 'chai';

import {
  checkRunnability,
  type RunnabilityInput,
} from '../../src/limits/never_runnable.js';
import {PLENTY, resources} from '../fixtures.js';

const QUESTION: RunnabilityInput = {
  team: 'a',
  kind: 'k',
  resources: resources(4),
  quota: PLENTY,
  capacities: [resources(8)],
  sinceMs: 100,
  unknownUpstreamWaitMs: 1_000,
};

describe('neverRunnable', () => {
  for (const [title, part, now, expected] of [
    ['passes what fits', {}, 100, {type: 'runnable'}],
    [
      'refuses a quota of zero at once',
      {quota: resources(0)},
      100,
      {type: 'never', reason: 'quota-zero', answer: 'a.team.quota'},
    ],
    [
      'waits for a kind that may be announced',
      {capacities: []},
      1_099,
      {type: 'wait', untilMs: 1_100},
    ],
    [
      'gives up on a kind that no one offers',
      {capacities: []},
      1_100,
      {type: 'never', reason: 'kind-not-offered'},
    ],
    [
      'waits for an upstream that is large enough',
      {capacities: [resources(2)]},
      100,
      {type: 'wait'},
    ],
    [
      'gives up when every upstream is too small',
      {capacities: [resources(2)]},
      1_100,
      {type: 'never', reason: 'no-upstream-large-enough'},
    ],
  ] as const) {
    it(title, () => {
      expect(checkRunnability({...QUESTION, ...part}, now)).to.include(
        expected,
      );
    });
  }
});
