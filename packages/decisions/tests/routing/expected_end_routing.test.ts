import {expect} from 'chai';
import fc from 'fast-check';
import {xoroshiro128plus} from 'pure-rand';

import {
  LeastOutstandingRouting,
  RandomRouting,
  TwoChoicesRouting,
} from '../../src/routing/baseline_routing.js';
import {
  CandidateIndex,
  type CandidateUpstream,
} from '../../src/routing/candidate_index.js';
import {ExpectedEndRouting} from '../../src/routing/expected_end_routing.js';
import {RunTimeEstimator} from '../../src/routing/run_time_estimator.js';
import {
  createResources,
  createRoutableTask,
  createUpstream,
} from '../fixtures.js';

/** Creates upstreams with one credit each and the given measured run times. */
function createRouting(
  runMs: Readonly<Record<string, number>>,
  part: Partial<CandidateUpstream> = {},
) {
  const estimator = new RunTimeEstimator();
  const candidates = new CandidateIndex();
  for (const key of Object.keys(runMs)) {
    candidates.add(createUpstream(key, part));
    candidates.setCredits(key, 1);
  }
  for (let now = 0; now < 300; now++) {
    for (const [key, ms] of Object.entries(runMs)) {
      estimator.observe(
        {team: 'a', kind: 'k', upstream: key, runMs: ms, endedAtMs: now},
        now,
      );
    }
  }
  for (const key of Object.keys(runMs))
    candidates.setSpeed(key, estimator.speedFactor(key), 300);
  const options = {minWaitGain: 0.2};
  return {candidates, routing: new ExpectedEndRouting(estimator, options)};
}

describe('ExpectedEndRouting', () => {
  it('picks the fastest free upstream, not the first one', () => {
    const {candidates, routing} = createRouting({
      slow: 400,
      fast: 50,
      middle: 100,
    });
    const decision = routing.chooseUpstream(
      createRoutableTask(),
      candidates,
      0,
    );
    expect(decision).to.include({
      type: 'start',
      upstream: 'fast',
      reason: 'fastest-end',
    });
  });

  for (const [running, waitingTasks, type] of [
    [0, 1, 'start'],
    [1, 1, 'wait'],
    [1, 4, 'wait'],
    [1, 6, 'start'],
    [8, 38, 'wait'],
    [8, 44, 'start'],
  ] as const) {
    it(`${type}s with ${running} tasks on the full fast upstream and ${waitingTasks} queued tasks, so that a slow upstream stays idle only while waiting is faster`, () => {
      const {candidates, routing} = createRouting({slow: 400, fast: 50});
      candidates.setCredits('fast', running);
      for (let n = 0; n < running; n++) {
        candidates.started('fast', `other${n}`, createResources(1));
      }
      const decision = routing.chooseUpstream(
        createRoutableTask({waitingTasks}),
        candidates,
        0,
      );
      expect(decision.type).to.equal(type);
    });
  }

  it('does not wait for an upstream that is hardly faster', () => {
    const {candidates, routing} = createRouting({slow: 100, fast: 90});
    candidates.started('fast', 'other', createResources(1));
    expect(
      routing.chooseUpstream(createRoutableTask(), candidates, 0),
    ).to.include({
      upstream: 'slow',
    });
  });

  it('explores a new upstream with a normal task, not with an urgent one', () => {
    const {candidates, routing} = createRouting({known: 100});
    candidates.add(createUpstream('new'));
    candidates.setCredits('new', 1);
    candidates.setSpeed('new', 8, 0);
    expect(
      routing.chooseUpstream(createRoutableTask(), candidates, 0),
    ).to.include({
      upstream: 'known',
    });
    const normal = routing.chooseUpstream(
      createRoutableTask({urgency: 'normal'}),
      candidates,
      0,
    );
    expect(normal).to.include({upstream: 'new', reason: 'exploration'});
  });

  it('leaves the fast upstream to others when the rest of the job ends later', () => {
    const {candidates, routing} = createRouting({slow: 400, fast: 50});
    const task = createRoutableTask({jobEndsAtMs: 5_000, waitingTasks: 10});
    expect(routing.chooseUpstream(task, candidates, 0)).to.include({
      upstream: 'slow',
      reason: 'within-job-end',
    });
  });

  it('spreads a job over racks when the expected ends are equal', () => {
    const {candidates, routing} = createRouting({u1: 100});
    candidates.add(createUpstream('u2', {rack: 'other'}));
    candidates.setCredits('u2', 1);
    candidates.setSpeed('u2', 1, 300);
    const task = createRoutableTask({jobRacks: new Map([['r', 3]])});
    expect(routing.chooseUpstream(task, candidates, 0)).to.include({
      upstream: 'u2',
    });
  });
});

describe('all routing policies', () => {
  const rng = xoroshiro128plus(9);
  const policies = [
    new ExpectedEndRouting(new RunTimeEstimator()),
    new TwoChoicesRouting(rng),
    new LeastOutstandingRouting(),
    new RandomRouting(rng),
  ];
  const candidateState = fc.record({
    held: fc.nat(2),
    limit: fc.integer({min: 1, max: 2}),
    available: fc.boolean(),
    size: fc.integer({min: 1, max: 4}),
    offers: fc.boolean(),
    busy: fc.boolean(),
  });
  for (const routing of policies) {
    it(`${routing.constructor.name} starts a task where a credit and resources are free, and only there`, () => {
      fc.assert(
        fc.property(fc.array(candidateState, {maxLength: 12}), states => {
          const candidates = new CandidateIndex();
          const open: string[] = [];
          states.forEach((each, n) => {
            const key = `u${n}`;
            candidates.add(
              createUpstream(key, {
                capacity: createResources(each.size),
                kinds: [each.offers ? 'k' : 'x'],
              }),
            );
            candidates.setCredits(key, each.held);
            candidates.setLimit(key, each.limit);
            if (each.busy && each.held > 0)
              candidates.started(key, 'other', createResources(1));
            candidates.setAvailable(key, each.available);
            const running = each.busy && each.held > 0 ? 1 : 0;
            const isOpen =
              each.available &&
              each.offers &&
              Math.min(each.held, each.limit) > running;
            if (isOpen && each.size - running >= 2) open.push(key);
          });
          const task = createRoutableTask({
            resources: createResources(2),
            excluded: new Set(['u0']),
          });
          const decision = routing.chooseUpstream(task, candidates, 10);
          const allowed = open.filter(key => key !== 'u0');
          if (decision.type === 'start')
            expect(allowed).to.include(decision.upstream);
          else expect([decision.type, allowed]).to.deep.equal(['none', []]);
        }),
        {seed: 6},
      );
    });
  }
});
