/** Jobs that fit on upstreams of evacuated data centres only. */
import {expect} from 'chai';

import {RecordingMetrics} from '../../../runtime/tests/recording_metrics.js';
import type {Step} from '../../src/jobs/job_types.js';
import type {Reply} from '../../src/messages/calls.js';
import {OwnerHarness, step} from '../owner_harness.js';

const EVACUATED: Reply = {
  type: 'refused',
  reason: 'evacuated',
  retryAfterS: 30,
};
const GIVEN_UP: Reply = {type: 'given-up', retryAfterS: 30};
const COMPLETED: Reply = {type: 'ended', state: 'completed'};

/** Time in ms within which a refusal counts as immediate. */
const REFUSAL_MS = 50;

/** Passes per second that are allowed while only evacuated upstreams fit. */
const MAX_PASSES_PER_S = 5;

/** Counts the refusals by reason, too. */
class CountingMetrics extends RecordingMetrics {
  readonly refusals: string[] = [];

  override increment(name: string, _value = 1, tags = {}): void {
    const {reason} = tags as {readonly reason?: string};
    if (name === 'jobs.refused' && reason) this.refusals.push(reason);
  }
}

describe('Owner with jobs that fit in evacuated data centres only', () => {
  let harness: OwnerHarness;
  let metrics: CountingMetrics;

  /** u0 is in data centre a, larger than u1 in b, and has the label ssd. */
  beforeEach(async () => {
    harness = new OwnerHarness(2);
    metrics = new CountingMetrics();
    harness.metrics = metrics;
    harness.upstream(0).labels = ['ssd'];
    harness.upstream(0).maxRuns = 4;
    harness.upstream(1).dataCentre = 'b';
    await harness.setUp();
  });

  afterEach(() => harness.close());

  const ssd = (tasks: number, fields: Partial<Step> = {}) =>
    step(tasks, {label: 'ssd', ...fields});

  function expectReply(reply: Promise<Reply>, within = REFUSAL_MS) {
    return harness.waitFor(reply, within).then(settled => expect(settled));
  }

  // Guards against callers that wait in vain, as a pool without available
  // upstreams counts as able to serve.
  for (const {title, steps} of [
    {title: 'by its label', steps: [ssd(1)]},
    {title: 'by its size', steps: [step(1, {cpuMillis: 3_000})]},
    {title: 'in a later step', steps: [step(1), ssd(1, {after: [0]})]},
  ]) {
    it(`refuses a new job at once that fits only there ${title}`, async () => {
      await harness.evacuate('a');
      (await expectReply(harness.submit('j', steps))).to.deep.equal(EVACUATED);
      expect(metrics.refusals).to.deep.equal(['evacuated']);
      (await expectReply(harness.submit('k'), 500)).to.deep.equal(COMPLETED);
      expect(harness.spans.map(({task}) => task)).to.deep.equal(['k/0/0']);
    });
  }

  // Guards against a refusal of jobs that no upstream has ever been able to
  // take: they are queued as without evacuations.
  it('does not blame the evacuation for a job that fits nowhere', async () => {
    await harness.evacuate('a');
    const reply = harness.submit('j', [step(1, {label: 'none'})]);
    (await expectReply(reply, 5_000)).to.deep.equal({
      type: 'refused',
      reason: 'not-in-time',
      retryAfterS: 1,
    });
  });

  // Guards against queued jobs that wait in vain for the rest of their time.
  it('refuses queued jobs, and gives up those that have started', async () => {
    harness.upstream(0).runMs = 400;
    const full = harness.submit('full', [ssd(3, {declaredMs: 400})]);
    await harness.advanceClock(20);
    const begun = harness.submit('begun', [ssd(2, {declaredMs: 400})]);
    const queued = harness.submit('queued', [ssd(1, {declaredMs: 400})]);
    await harness.advanceClock(20);
    await harness.evacuate('a');
    (await expectReply(queued)).to.deep.equal(EVACUATED);
    (await expectReply(begun)).to.deep.equal(GIVEN_UP);
    (await expectReply(full, 1_000)).to.deep.equal(COMPLETED);
    expect(metrics.refusals).to.deep.equal(['evacuated']);
  });

  // Guards against a task that is queued again after the evacuation and then
  // waits in vain, and against a false claim that it has not run.
  it('gives up a job whose run there fails after the evacuation', async () => {
    harness.upstream(0).runMs = 200;
    harness.upstream(0).outcome = 'failed';
    const reply = harness.submit('j', [ssd(1, {declaredMs: 200})]);
    await harness.advanceClock(50);
    await harness.evacuate('a');
    (await expectReply(reply, 250)).to.deep.equal(GIVEN_UP);
  });

  // Guards against a job that waits after its unconfirmed start was stopped.
  it('gives up a job whose start there was stopped', async () => {
    harness.upstream(0).delivery = order =>
      order === 'start' ? 'late' : 'delivered';
    const reply = harness.submit('j', [ssd(1)]);
    await harness.advanceClock(5);
    await harness.evacuate('a');
    (await expectReply(reply, 200)).to.deep.equal(GIVEN_UP);
    await harness.advanceClock(5_000);
    expect(harness.spans).to.deep.equal([]);
  });

  // Guards against callers that wait when an evacuated data centre is shut down.
  it('refuses jobs that fit only on upstreams that have left since', async () => {
    await harness.evacuate('a');
    await harness.waitFor(harness.call({type: 'leave', id: 'u0'}));
    await harness.advanceClock(3_000);
    (await expectReply(harness.submit('j', [ssd(1)]))).to.deep.equal(EVACUATED);
    await harness.evacuate('a', false);
    const reply = harness.submit('k', [ssd(1)]);
    (await expectReply(reply, 5_000)).to.deep.equal({
      type: 'refused',
      reason: 'not-in-time',
      retryAfterS: 1,
    });
  });

  // Guards against callers that wait when the remaining upstreams are lost.
  it('refuses jobs once all other upstreams are lost', async () => {
    await harness.evacuate('a');
    void harness.submitDurable('stored');
    await harness.advanceClock(20);
    harness.upstream(1).delivery = () => 'unreached';
    await harness.advanceClock(2_500);
    (await expectReply(harness.submit('j'))).to.deep.equal(EVACUATED);
  });

  // Guards against stored jobs that are refused, or lost sight of.
  it('keeps stored jobs, new and queued, until the readmission', async () => {
    harness.upstream(0).runMs = 400;
    void harness.submitDurable('full', [ssd(4, {declaredMs: 400})]);
    await harness.advanceClock(20);
    void harness.submitDurable('queued', [ssd(1)]);
    await harness.advanceClock(20);
    await harness.evacuate('a');
    const reply = await harness.waitFor(harness.submitDurable('new', [ssd(1)]));
    expect(reply).to.deep.equal({type: 'accepted'});
    await harness.advanceClock(10_000);
    const getStates = () =>
      Promise.all(['full', 'queued', 'new'].map(id => harness.getJobState(id)));
    expect(await getStates()).to.deep.equal(['completed', 'queued', 'queued']);
    await harness.evacuate('a', false);
    await harness.advanceClock(2_000);
    expect(await getStates()).to.deep.equal(Array(3).fill('completed'));
  });

  // Guards against a crash, and against passes without end over a queue that
  // no upstream can serve.
  it('refuses or keeps all jobs while all data centres are evacuated', async () => {
    const running = harness.submitDurable('running', [step(12)]);
    await harness.waitFor(running);
    await harness.evacuate('a');
    await harness.evacuate('b');
    (await expectReply(harness.submit('j'))).to.deep.equal(EVACUATED);
    void harness.submitDurable('stored');
    await harness.advanceClock(2_000);
    const starts = harness.spans.length;
    metrics.timings.length = 0;
    await harness.advanceClock(10_000);
    const passes = metrics.timings.filter(([name]) => name === 'owner.pass');
    expect(passes.length).to.be.below(10 * MAX_PASSES_PER_S);
    expect(harness.spans).to.have.length(starts);
    await harness.evacuate('a', false);
    await harness.evacuate('b', false);
    await harness.advanceClock(4_000);
    expect(await harness.getJobState('stored')).to.equal('completed');
    expect(await harness.getJobState('running')).to.equal('completed');
  });

  // Guards against a new leader that gives up a job which runs to its end
  // there, or which tells callers that jobs it knows nothing of have not run.
  it('adopts a repeated job that runs there, and gives up others', async () => {
    harness.upstream(0).runMs = 1_200;
    const steps = [ssd(1, {declaredMs: 1_200})];
    void harness.submit('runs', steps);
    void harness.submit('unknown', [step(1, {label: 'none'})]);
    // A hold has just extended the lease, which has to last until the takeover.
    await harness.advanceClock(240);
    await harness.evacuate('a');
    harness.kill();
    await harness.startOwner();
    const unknown = harness.submit('unknown', steps);
    const runs = harness.submit('runs', steps);
    (await expectReply(unknown, 1_000)).to.deep.equal(GIVEN_UP);
    (await expectReply(runs, 2_000)).to.deep.equal(COMPLETED);
    const onEvacuated = harness.spans.filter(span => span.upstream === 'u0');
    expect(onEvacuated.map(({task}) => task)).to.deep.equal(['runs/0/0']);
  });
});
