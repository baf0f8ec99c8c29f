import {type Clock, install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import type {FailedOutcome} from '../../src/dispatch/outcome_policy.js';
import {TaskTable} from '../../src/dispatch/task_table.js';
import {FakeOwnership, ONCE, REPEATABLE, runningJob} from '../fixtures.js';
import {Harness} from './harness.js';

const ERROR = {type: 'task-error', message: 'm'} as const;
const LOST = {type: 'unresolved', reason: 'r'} as const;
const STOPPED = {type: 'stopped'} as const;
const REFUSED = {type: 'refused', refusal: 'no-slot'} as const;
const SEALED = {type: 'not-started', reason: 'sealed'} as const;

describe('OutcomePolicy', () => {
  let clock: Clock;
  let harness: Harness;
  beforeEach(() => {
    clock = install({now: 0});
    harness = new Harness();
  });
  afterEach(() => {
    harness.close();
    clock.uninstall();
  });

  function next(outcome: FailedOutcome, repeatable: boolean, sent = 1) {
    const job = runningJob({kind: repeatable ? REPEATABLE : ONCE});
    const task = {job, owner: new FakeOwnership(), index: 0, nextAttempt: 1};
    const entry = new TaskTable().add(task, 0);
    entry.sentCount = sent;
    const attempt = {
      attempt: 1,
      upstream: 'w1',
      startedAtMs: 0,
      expectedRunMs: 100,
      chargeId: 'c',
    };
    const step = harness.outcomes.decideNextStep(entry, attempt, outcome);
    return {step, entry, job};
  }

  const cases: readonly (readonly [FailedOutcome, boolean, number, string])[] =
    [
      [ERROR, true, 1, 'retry'],
      [LOST, true, 1, 'retry'],
      [STOPPED, true, 1, 'retry'],
      [REFUSED, true, 1, 'retry'],
      [ERROR, true, 5, 'fail'],
      [REFUSED, true, 5, 'fail'],
      [ERROR, false, 1, 'fail'],
      [LOST, false, 1, 'unknown'],
      [STOPPED, false, 1, 'fail'],
      [REFUSED, false, 1, 'sealed retry'],
      [SEALED, false, 1, 'sealed retry'],
      [SEALED, false, 5, 'fail'],
    ];
  for (const [outcome, repeatable, sent, expected] of cases) {
    const kind = repeatable ? 'a repeatable' : 'an at-most-once';
    it(`decides ${expected} for ${kind} task: ${outcome.type} after ${sent}`, () => {
      const {step, entry, job} = next(outcome, repeatable, sent);
      const shown =
        step.type === 'retry'
          ? `${step.seal ? 'sealed ' : ''}retry`
          : step.failure.unknown === true
            ? 'unknown'
            : 'fail';
      expect(shown).to.equal(expected);
      expect(entry.excludedUpstreams.has('w1')).to.equal(true);
      expect(job.steps).to.have.length(1);
    });
  }
});
