/** Replies of an owner to callers, and runs on its upstreams, under faults. */
import {expect} from 'chai';

import {findOverlappingRuns} from '../fake_upstreams.js';
import {OwnerHarness, step} from '../owner_harness.js';

describe('Owner', () => {
  let harness: OwnerHarness;

  async function setUp(upstreams: number): Promise<void> {
    harness = new OwnerHarness(upstreams);
    await harness.setUp();
  }

  afterEach(async () => {
    expect(findOverlappingRuns(harness.spans)).to.deep.equal([]);
    await harness.close();
  });

  it('answers a waiting caller once all tasks are done', async () => {
    await setUp(2);
    const reply = await harness.waitFor(harness.submit('a', [step(3)]));
    expect(reply).to.deep.equal({type: 'ended', state: 'completed'});
    expect(harness.spans).to.have.length(3);
  });

  // The caller resubmits its job after it gave up.
  it('does not run a task of a resubmitted job while its earlier run is active', async () => {
    await setUp(2);
    harness.upstream(0).runMs = 5_000;
    harness.upstream(1).runMs = 5_000;
    const first = harness.submit('a');
    await harness.advanceClock(20);
    // The stop orders are lost, so that the run continues for a while.
    for (const each of harness.upstreams) {
      each.delivery = kind => (kind === 'stop' ? 'lost' : 'delivered');
    }
    await harness.call({type: 'abandon', job: 'a'});
    expect(await first).to.deep.equal({type: 'given-up'});
    const second = harness.submit('a');
    await harness.advanceClock(100);
    expect(harness.spans).to.have.length(1);
    for (const each of harness.upstreams) {
      each.delivery = () => 'delivered';
      each.runMs = 60;
    }
    const reply = await harness.waitFor(second);
    expect(reply).to.deep.equal({type: 'ended', state: 'completed'});
  });

  it('does not repeat a run when the answer to its start is lost', async () => {
    await setUp(2);
    for (const each of harness.upstreams) {
      each.runMs = 800;
      each.delivery = kind => (kind === 'start' ? 'answer-lost' : 'delivered');
    }
    const steps = [step(1, {declaredMs: 800})];
    const reply = await harness.waitFor(harness.submit('a', steps));
    expect(reply).to.deep.equal({type: 'ended', state: 'completed'});
    expect(harness.spans).to.have.length(1);
  });

  it('restarts a task on another upstream when its run makes no progress', async () => {
    await setUp(2);
    for (const each of harness.upstreams) each.runMs = 1_000_000;
    const answer = harness.submit('a');
    await harness.advanceClock(50);
    for (const each of harness.upstreams) each.runMs = 60;
    const reply = await harness.waitFor(answer);
    expect(reply).to.deep.equal({type: 'ended', state: 'completed'});
    expect(harness.spans.map(({outcome}) => outcome)).to.deep.equal([
      'stopped',
      'done',
    ]);
  });

  it('does not restart a slow run that ends before a restarted one would', async () => {
    await setUp(2);
    for (const each of harness.upstreams) each.runMs = 320;
    await harness.waitFor(harness.submit('a'));
    expect(harness.spans).to.have.length(1);
  });

  it('forbids a delayed start before it runs the task on another upstream', async () => {
    await setUp(2);
    harness.upstream(0).delivery = k => (k === 'start' ? 'late' : 'delivered');
    harness.upstream(1).delivery = k => (k === 'start' ? 'late' : 'delivered');
    const answer = harness.submit('a');
    await harness.advanceClock(200);
    for (const each of harness.upstreams) each.delivery = () => 'delivered';
    const reply = await harness.waitFor(answer);
    expect(reply).to.deep.equal({type: 'ended', state: 'completed'});
    await harness.advanceClock(5_000);
    expect(harness.spans).to.have.length(1);
  });

  it('restarts a task of a silent upstream only after its leases have expired', async () => {
    await setUp(2);
    for (const each of harness.upstreams) each.runMs = 3_000;
    await harness.waitFor(harness.submitDurable('a'));
    await harness.advanceClock(100);
    const first = harness.spans[0]?.upstream;
    const cut = harness.upstreams.find(({id}) => id === first);
    if (cut) cut.delivery = () => 'lost';
    for (const each of harness.upstreams) each.runMs = 60;
    await harness.advanceClock(3_000);
    expect(harness.spans.map(({outcome}) => outcome)).to.deep.equal([
      'lease-over',
      'done',
    ]);
    expect(await harness.getJobState('a')).to.equal('completed');
  });

  it('adopts the runs of durable jobs after a change of owner', async () => {
    await setUp(2);
    for (const each of harness.upstreams) each.runMs = 900;
    await harness.waitFor(harness.submitDurable('a', [step(2)]));
    await harness.advanceClock(50);
    harness.kill();
    await harness.startOwner();
    await harness.advanceClock(1_500);
    expect(await harness.getJobState('a')).to.equal('completed');
    expect(harness.spans).to.have.length(2);
  });

  it('adopts the runs of a job that a waiting caller resubmits after a change of owner', async () => {
    await setUp(2);
    for (const each of harness.upstreams) each.runMs = 900;
    void harness.submit('a', [step(2)]);
    await harness.advanceClock(50);
    harness.kill();
    await harness.startOwner();
    await harness.advanceClock(20);
    const reply = await harness.waitFor(harness.submit('a', [step(2)]));
    expect(reply).to.deep.equal({type: 'ended', state: 'completed'});
    expect(harness.spans).to.have.length(2);
  });

  // The caller resubmits before the upstream first answers the new owner.
  it('adopts a run that an upstream lists only after its job was resubmitted', async () => {
    await setUp(2);
    const steps = [step(2, {declaredMs: 900})];
    for (const each of harness.upstreams) each.runMs = 900;
    void harness.submit('a', steps);
    await harness.advanceClock(50);
    harness.kill();
    for (const each of harness.upstreams) {
      each.delivery = kind => (kind === 'hold' ? 'unreached' : 'delivered');
    }
    await harness.startOwner();
    const answer = harness.submit('a', steps);
    await harness.advanceClock(10);
    for (const each of harness.upstreams) each.delivery = () => 'delivered';
    const reply = await harness.waitFor(answer);
    expect(reply).to.deep.equal({type: 'ended', state: 'completed'});
    expect(harness.spans).to.have.length(2);
  });

  it('starts new jobs while an upstream has not answered a new owner yet', async () => {
    await setUp(3);
    harness.kill();
    harness.upstream(0).delivery = () => 'lost';
    await harness.startOwner();
    const leadsAt = performance.now();
    const reply = await harness.waitFor(harness.submit('a', [step(2)]));
    expect(reply).to.deep.equal({type: 'ended', state: 'completed'});
    expect(performance.now() - leadsAt).to.be.below(200);
  });

  it('delays resubmitted jobs until their earlier runs must have ended', async () => {
    await setUp(2);
    for (const each of harness.upstreams) each.runMs = 600;
    const steps = [step(4, {declaredMs: 600})];
    void harness.submit('a', steps);
    await harness.advanceClock(50);
    harness.kill();
    harness.upstream(0).delivery = () => 'lost';
    await harness.startOwner();
    const reply = await harness.waitFor(harness.submit('a', steps));
    expect(reply.type).to.be.oneOf(['ended', 'given-up']);
  });

  it('waits for the end of an orphaned run that is being stopped', async () => {
    await setUp(2);
    for (const each of harness.upstreams) each.runMs = 60_000;
    void harness.submit('a');
    await harness.advanceClock(50);
    harness.kill();
    await harness.startOwner();
    for (const each of harness.upstreams) {
      each.delivery = kind => (kind === 'stop' ? 'lost' : 'delivered');
      each.runMs = 60;
    }
    // Longer than the grace period for runs of unknown jobs.
    await harness.advanceClock(2_600);
    const answer = harness.submit('a');
    await harness.advanceClock(300);
    expect(harness.spans).to.have.length(1);
    for (const each of harness.upstreams) each.delivery = () => 'delivered';
    const reply = await harness.waitFor(answer);
    expect(reply).to.deep.equal({type: 'ended', state: 'completed'});
  });

  it('keeps accepted jobs and their run ends across a change of owner', async () => {
    await setUp(2);
    await harness.waitFor(
      harness.submitDurable('a', [step(2), step(1, {after: [0]})]),
    );
    await harness.advanceClock(30);
    harness.kill();
    await harness.startOwner();
    await harness.advanceClock(2_000);
    expect(await harness.getJobState('a')).to.equal('completed');
    expect(harness.spans).to.have.length(3);
  });

  it('starts a step only after the steps that it depends on', async () => {
    await setUp(2);
    const steps = [step(2), step(1, {after: [0]})];
    await harness.waitFor(harness.submit('a', steps));
    const ends = harness.spans.filter(s => s.task.startsWith('a/0'));
    const last = harness.spans.find(s => s.task === 'a/1/0');
    expect(last?.from).to.be.at.least(Math.max(...ends.map(({to}) => to)));
  });

  it('restarts the tasks that a restarted upstream has lost', async () => {
    await setUp(1);
    const upstream = harness.upstream(0);
    upstream.runMs = 500;
    const answer = harness.submit('a');
    await harness.advanceClock(100);
    upstream.restart();
    await harness.announce(upstream);
    const reply = await harness.waitFor(answer);
    expect(reply).to.deep.equal({type: 'ended', state: 'completed'});
    expect(harness.spans).to.have.length(2);
  });

  it('starts nothing on an upstream whose leave was acknowledged', async () => {
    await setUp(2);
    await harness.announce(harness.upstream(0), true);
    await harness.waitFor(harness.submit('a', [step(6)]));
    expect(harness.spans.filter(s => s.upstream === 'u0')).to.deep.equal([]);
  });

  it('fails a job only once a task has used up all its attempts', async () => {
    await setUp(2);
    for (const each of harness.upstreams) each.outcome = 'failed';
    const reply = await harness.waitFor(harness.submit('a'));
    expect(reply).to.deep.equal({type: 'ended', state: 'failed'});
    expect(harness.spans).to.have.length(2);
  });

  it('stops the runs of a cancelled job and starts no more of its tasks', async () => {
    await setUp(1);
    harness.upstream(0).runMs = 5_000;
    await harness.waitFor(harness.submitDurable('a', [step(4)]));
    await harness.advanceClock(50);
    const path = '/q/a';
    const reply = await harness.waitFor(
      harness.call({type: 'cancel', host: 'host', path}),
    );
    expect(reply).to.deep.equal({type: 'state', state: 'cancelled'});
    await harness.advanceClock(1_000);
    expect(harness.spans.map(s => s.outcome)).to.deep.equal([
      'stopped',
      'stopped',
    ]);
  });

  it('sends no orders while the process may have been paused', async () => {
    await setUp(1);
    harness.paused = true;
    const reply = await harness.submit('a');
    expect(reply).to.deep.equal({type: 'not-leader'});
    expect(harness.spans).to.deep.equal([]);
  });

  it('gives up a started job once it cannot end before its deadline', async () => {
    await setUp(1);
    harness.upstream(0).runMs = 900;
    const from = performance.now();
    const reply = await harness.waitFor(
      harness.submit('a', [step(4, {declaredMs: 900})]),
    );
    // Callers with an objective above a second come back a second later.
    expect(reply).to.deep.equal({type: 'given-up', retryAfterS: 2});
    expect(performance.now() - from).to.be.below(1_200);
    expect(harness.spans).to.have.length(2);
  });
});
