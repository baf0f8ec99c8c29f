import {expect} from 'chai';

import {
  checkRunnability,
  type RunnabilityInput,
} from '../../src/limits/runnability.js';
import {createResources, UNLIMITED} from '../fixtures.js';

const INPUT: RunnabilityInput = {
  team: 'a',
  kind: 'k',
  resources: createResources(4),
  quota: UNLIMITED,
  capacities: [createResources(8)],
  sinceMs: 100,
  unknownUpstreamWaitMs: 1_000,
};

describe('checkRunnability', () => {
  for (const [title, part, now, expected] of [
    ['accepts a task that fits', {}, 100, {type: 'runnable'}],
    [
      'rejects a quota of zero at once',
      {quota: createResources(0)},
      100,
      {type: 'never', reason: 'quota-zero', answer: 'a.team.quota'},
    ],
    [
      'rejects a task at once whose only upstreams are evacuated',
      {capacities: [], evacuatedDataCentre: 'b'},
      100,
      {
        type: 'never',
        reason: 'data-centre-evacuated',
        detail: 'data centre b is evacuated',
      },
    ],
    [
      'accepts a task that fits elsewhere in spite of an evacuation',
      {evacuatedDataCentre: 'b'},
      100,
      {type: 'runnable'},
    ],
    [
      'waits for a kind that may be announced',
      {capacities: []},
      1_099,
      {type: 'wait', untilMs: 1_100},
    ],
    [
      'rejects a kind that no upstream announced in time',
      {capacities: []},
      1_100,
      {type: 'never', reason: 'kind-not-offered'},
    ],
    [
      'waits for an upstream that is large enough',
      {capacities: [createResources(2)]},
      100,
      {type: 'wait'},
    ],
    [
      'rejects a task for which every upstream is too small',
      {capacities: [createResources(2)]},
      1_100,
      {type: 'never', reason: 'no-upstream-large-enough'},
    ],
  ] as const) {
    it(title, () => {
      expect(checkRunnability({...INPUT, ...part}, now)).to.include(expected);
    });
  }
});
