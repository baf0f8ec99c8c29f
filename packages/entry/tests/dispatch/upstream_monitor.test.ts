import {upstreamKey} from '@mustardferry/model';
import {type Clock, install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {
  FakeOwnership,
  OTHER_JOB_ID,
  REPEATABLE,
  runningJob,
  upstream,
} from '../fixtures.js';
import {Harness} from './harness.js';

const BAD = upstreamKey(upstream());
const UPSTREAMS = [1, 2, 3, 4].map(port =>
  upstream({worker: `w${port}`, address: `127.0.0.1:${port}`}),
);

describe('UpstreamMonitor', () => {
  let clock: Clock;
  let harness: Harness;
  beforeEach(() => {
    clock = install({now: 0});
    harness = new Harness(UPSTREAMS);
  });
  afterEach(() => {
    harness.close();
    clock.uninstall();
  });

  /** Runs 40 jobs of one task; tasks on `BAD` fail, the others succeed. */
  async function failOnBad(): Promise<void> {
    const answered = new Set<unknown>();
    for (let number = 0; number < 40; number++) {
      const jobId = OTHER_JOB_ID.replace('bb', `${10 + number}`);
      const job = runningJob({kind: REPEATABLE, tasks: 1, jobId});
      const owner = new FakeOwnership();
      harness.dispatcher.scheduleTask({job, owner, index: 0, nextAttempt: 1});
      await clock.tickAsync(20);
      for (const message of harness.sent('start')) {
        if (answered.has(message)) continue;
        answered.add(message);
        message.answer(
          message.upstream === BAD
            ? {state: 'error', message: 'broken worker'}
            : {state: 'done', value: 1, runMs: 10},
        );
      }
      await clock.tickAsync(0);
    }
  }

  it('sends an ejected upstream only one probe at a time', async () => {
    await failOnBad();
    const candidate = harness.pool.candidates.get(BAD);
    expect(candidate?.available, 'ejected').to.equal(false);
    const toBad = () =>
      harness.sent('start').filter(({upstream: key}) => key === BAD).length;
    const before = toBad();
    const job = runningJob({kind: REPEATABLE, tasks: 60});
    const owner = new FakeOwnership();
    job.record.tasks.forEach((_task, index) =>
      harness.dispatcher.scheduleTask({job, owner, index, nextAttempt: 1}),
    );
    await clock.tickAsync(60_000);
    expect(toBad() - before).to.equal(1);
  });

  it('ejects no upstream for refusals or seals', async () => {
    const owner = new FakeOwnership();
    const job = runningJob({kind: REPEATABLE, tasks: 1});
    harness.dispatcher.scheduleTask({job, owner, index: 0, nextAttempt: 1});
    for (let round = 0; round < 20; round++) {
      await clock.tickAsync(1_000);
      const last = harness.sent('start').at(-1);
      last?.answer({state: 'refused', refusal: 'sealed'});
    }
    for (const {upstream: key} of harness.sent('start')) {
      expect(harness.pool.candidates.get(key)?.available).to.equal(true);
    }
  });

  it('discards the limit and health of a removed upstream', async () => {
    await failOnBad();
    harness.monitor.remove(BAD);
    harness.monitor.add(BAD, 4);
    harness.pool.setAllowance(BAD, 4);
    await clock.tickAsync(1_000);
    expect(harness.pool.candidates.get(BAD)?.available).to.equal(true);
  });
});
