/** Jobs that are submitted again while runs of them are in progress. */
import {expect} from 'chai';

import {OwnerHarness, step} from '../owner_harness.js';

const SHORT_RUN_MS = 30;
const LONG_RUN_MS = 900;

describe('Owner with a job that is submitted again', () => {
  let harness: OwnerHarness;

  afterEach(() => harness.close());

  // Guards against a task that starts before the steps that it depends on, once
  // a run of its job's earlier submission has ended.
  it('keeps the order of the steps while it waits for a discarded run', async () => {
    harness = new OwnerHarness(2);
    harness.upstream(0).runMs = SHORT_RUN_MS;
    harness.upstream(1).runMs = LONG_RUN_MS;
    for (const each of harness.upstreams) each.maxRuns = 1;
    await harness.setUp();
    const steps = [step(1), step(1, {after: [0]})];
    void harness.submit('job', steps);
    await harness.advanceClock(20);
    while (!harness.spans.some(({task}) => task === 'job/1/0')) {
      await harness.advanceClock(5);
    }
    await harness.call({type: 'abandon', job: 'job'});
    for (const each of harness.upstreams) each.runMs = 300;
    const again = harness.submit('job', steps);
    await harness.waitFor(again);
    const [, secondFirst] = harness.spans.filter(
      ({task}) => task === 'job/0/0',
    );
    const [, secondLast] = harness.spans.filter(({task}) => task === 'job/1/0');
    expect(secondLast?.from).to.be.at.least(secondFirst?.to ?? Infinity);
  });
});
