import {expect} from 'chai';

import {OwnerHarness, step} from '../owner_harness.js';

const UPSTREAMS = 12;

/** Duration of the disruption in ms. */
const TROUBLE_MS = 6_500;

/** Time in ms after which a job with free upstreams must have run. */
const IDLE_LIMIT_MS = 3_000;

describe('Owner with tasks that avoid upstreams', () => {
  let harness: OwnerHarness;

  beforeEach(() => {
    harness = new OwnerHarness(UPSTREAMS);
  });

  afterEach(() => harness.close());

  // Guards against jobs that stay queued for good after refused or lost starts
  // on all upstreams with their label, few or many.
  for (const count of [1, 3, 6]) {
    for (const trouble of ['unhealthy', 'unreached', 'answer-lost'] as const) {
      it(`runs jobs after ${count} suitable upstreams were ${trouble}`, async () => {
        const suitable = harness.upstreams.slice(0, count);
        for (const upstream of suitable) upstream.labels = ['b'];
        await harness.setUp();
        for (const upstream of suitable) {
          upstream.unhealthy = trouble === 'unhealthy';
          upstream.delivery = order =>
            order === 'start' && trouble !== 'unhealthy'
              ? trouble
              : 'delivered';
        }
        const ids = Array.from({length: 6}, (_, n) => `job-${n}`);
        const steps = [step(1, {label: 'b'})];
        const replies = ids.map(id => harness.submitDurable(id, steps));
        await harness.waitFor(Promise.all(replies));
        await harness.advanceClock(TROUBLE_MS);
        for (const upstream of suitable) {
          upstream.unhealthy = false;
          upstream.delivery = () => 'delivered';
        }
        await harness.advanceClock(IDLE_LIMIT_MS);
        const states = await Promise.all(
          ids.map(id => harness.getJobState(id)),
        );
        expect(states).to.deep.equal(ids.map(() => 'completed'));
      });
    }
  }

  it('offers a task to other upstreams first', async () => {
    await harness.setUp();
    harness.upstream(0).unhealthy = true;
    const steps = [step(UPSTREAMS)];
    await harness.waitFor(harness.submitDurable('job', steps));
    await harness.advanceClock(500);
    expect(await harness.getJobState('job')).to.equal('completed');
  });
});
