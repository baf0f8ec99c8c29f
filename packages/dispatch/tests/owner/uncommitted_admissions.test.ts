/** Runs of jobs whose admission an earlier owner did not commit. */
import {expect} from 'chai';

import type {Step} from '../../src/jobs/job_types.js';
import {findOverlappingRuns} from '../fake_upstreams.js';
import {OwnerHarness, step} from '../owner_harness.js';

const SHORT_RUN_MS = 30;
const LONG_RUN_MS = 900;

/** Start orders have been carried out, and the admission is not synced. */
const BEFORE_COMMIT_MS = 5;

/** Interval in ms at which the moment of the second submission is varied. */
const SUBMIT_STEP_MS = 20;

function createSteps(declaredMs = 400): readonly Step[] {
  return [step(3, {declaredMs})];
}

describe('Owner after one that did not commit an admission', () => {
  let harness: OwnerHarness;

  beforeEach(async () => {
    harness = new OwnerHarness(3);
    for (const each of harness.upstreams) {
      each.maxRuns = 1;
      each.runMs = LONG_RUN_MS;
    }
    harness.upstream(0).runMs = SHORT_RUN_MS;
    await harness.setUp();
  });

  afterEach(() => harness.close());

  function countRuns(task: string): number {
    return harness.spans.filter(span => span.task === task).length;
  }

  /** Ends the owner before it has committed the admission of `job`. */
  async function loseAdmission(declaredMs?: number): Promise<void> {
    void harness.submitDurable('job', createSteps(declaredMs));
    await harness.advanceClock(BEFORE_COMMIT_MS);
    expect(harness.spans).to.have.length(3);
    harness.kill();
    await harness.startOwner();
    expect(harness.state.jobs.has('job')).to.equal(false);
  }

  // Guards against a task that runs twice at a time, as the next owner placed
  // its job without the listed runs.
  for (let ms = 0; ms <= 200; ms += SUBMIT_STEP_MS) {
    it(`adopts the runs of a job with ends if it is submitted after ${ms} ms`, async () => {
      await loseAdmission();
      await harness.advanceClock(ms);
      const reply = await harness.waitFor(
        harness.submitDurable('job', createSteps()),
      );
      expect(reply.type).to.equal('accepted');
      await harness.advanceClock(4_000);
      expect(await harness.getJobState('job')).to.equal('completed');
      expect(findOverlappingRuns(harness.spans)).to.deep.equal([]);
      expect(harness.spans).to.have.length(3);
    });
  }

  // Guards against an adopted run that is stopped with the runs of jobs that
  // nobody submitted again.
  it('keeps an adopted run past the time for which orphans are kept', async () => {
    harness.upstream(1).runMs = 4_000;
    harness.upstream(2).runMs = 4_000;
    await loseAdmission(4_000);
    await harness.advanceClock(60);
    await harness.waitFor(harness.submitDurable('job', createSteps(4_000)));
    await harness.advanceClock(8_000);
    expect(await harness.getJobState('job')).to.equal('completed');
    expect(harness.spans).to.have.length(3);
  });

  // Guards against a second run beside one that is already being stopped.
  it('waits for the stop of a run before its task starts again', async () => {
    harness.upstream(1).runMs = 4_000;
    await loseAdmission();
    await harness.advanceClock(2_200);
    harness.upstream(1).delivery = kind =>
      kind === 'stop' ? 'lost' : 'delivered';
    await harness.advanceClock(500);
    await harness.waitFor(harness.submitDurable('job', createSteps()));
    await harness.advanceClock(200);
    harness.upstream(1).delivery = () => 'delivered';
    await harness.advanceClock(8_000);
    expect(await harness.getJobState('job')).to.equal('completed');
    expect(findOverlappingRuns(harness.spans)).to.deep.equal([]);
  });

  // Guards against a second run of a task whose earlier step has to run again
  // under the next owner.
  it('adopts the run of a task that waits for an earlier step', async () => {
    const steps = [step(1), step(1, {after: [0], declaredMs: LONG_RUN_MS})];
    void harness.submit('job', steps);
    await harness.advanceClock(10);
    harness.upstream(0).runMs = LONG_RUN_MS;
    await harness.advanceClock(90);
    expect(countRuns('job/0/0')).to.equal(1);
    expect(countRuns('job/1/0')).to.equal(1);
    harness.kill();
    await harness.startOwner();
    harness.upstream(0).unhealthy = true;
    harness.upstream(1).runMs = SHORT_RUN_MS;
    await harness.advanceClock(50);
    const reply = await harness.waitFor(harness.submit('job', steps));
    expect(reply).to.deep.equal({type: 'ended', state: 'completed'});
    expect(findOverlappingRuns(harness.spans)).to.deep.equal([]);
    expect(countRuns('job/1/0')).to.equal(1);
  });
});

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
