/** What callers and upstreams see of an owner, under faults. */
import {expect} from 'chai';

import {findOverlappingRuns} from '../fake_upstreams.js';
import {OwnerHarness, step} from '../owner_harness.js';

describe('Owner', () => {
  let harness: OwnerHarness;

  async function begin(upstreams: number): Promise<void> {
    harness = new OwnerHarness(upstreams);
    await harness.setUp();
  }

  afterEach(async () => {
    expect(findOverlappingRuns(harness.spans)).to.deep.equal([]);
    await harness.close();
  });

  it('answers a waiting caller once all tasks are done', async () => {
    await begin(2);
    const reply = await harness.waitFor(harness.submit('a', [step(3)]));
    expect(reply).to.deep.equal({type: 'ended', state: 'completed'});
    expect(harness.spans).to.have.length(3);
  });

  // Seen on the platform: a caller that resent its job after giving up.
  it('does not run a task of a resubmitted job beside its earlier run', async () => {
    await begin(2);
    harness.upstream(0).runMs = 5_000;
    harness.upstream(1).runMs = 5_000;
    const first = harness.submit('a');
    await harness.advanceClock(20);
    // The stop is lost on its way, so that the run goes on for a while.
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

  it('does not repeat a run whose start was answered into the void', async () => {
    await begin(2);
    for (const each of harness.upstreams) {
      each.runMs = 800;
      each.delivery = kind => (kind === 'start' ? 'answer-lost' : 'delivered');
    }
    const steps = [step(1, {declaredMs: 800})];
    const reply = await harness.waitFor(harness.submit('a', steps));
    expect(reply).to.deep.equal({type: 'ended', state: 'completed'});
    expect(harness.spans).to.have.length(1);
  });

  it('restarts a task elsewhere that stands still on its upstream', async () => {
    await begin(2);
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

  it('lets a run go on that is slow, but ends before a restart would', async () => {
    await begin(2);
    for (const each of harness.upstreams) each.runMs = 320;
    await harness.waitFor(harness.submit('a'));
    expect(harness.spans).to.have.length(1);
  });

  it('forbids a delayed start before it runs the task elsewhere', async () => {
    await begin(2);
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

  it('runs a task elsewhere only once the leases of a silent upstream are over', async () => {
    await begin(2);
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

  it('adopts the runs of stored jobs after a change of the owner', async () => {
    await begin(2);
    for (const each of harness.upstreams) each.runMs = 900;
    await harness.waitFor(harness.submitDurable('a', [step(2)]));
    await harness.advanceClock(50);
    harness.kill();
    await harness.startOwner();
    await harness.advanceClock(1_500);
    expect(await harness.getJobState('a')).to.equal('completed');
    expect(harness.spans).to.have.length(2);
  });

  it('adopts the runs of a waiting caller who submits again after a change of the owner', async () => {
    await begin(2);
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

  // Seen on the platform: the caller was faster than the upstream's first answer.
  it('adopts a run that an upstream lists only after its job was submitted again', async () => {
    await begin(2);
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
    await begin(3);
    harness.kill();
    harness.upstream(0).delivery = () => 'lost';
    await harness.startOwner();
    const leadsAt = performance.now();
    const reply = await harness.waitFor(harness.submit('a', [step(2)]));
    expect(reply).to.deep.equal({type: 'ended', state: 'completed'});
    expect(performance.now() - leadsAt).to.be.below(200);
  });

  it('waits with repeated jobs until their runs must have ended', async () => {
    await begin(2);
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

  it('waits for the end of a stray run that is being stopped', async () => {
    await begin(2);
    for (const each of harness.upstreams) each.runMs = 60_000;
    void harness.submit('a');
    await harness.advanceClock(50);
    harness.kill();
    await harness.startOwner();
    for (const each of harness.upstreams) {
      each.delivery = kind => (kind === 'stop' ? 'lost' : 'delivered');
      each.runMs = 60;
    }
    // Longer than runs of unknown jobs are left alone.
    await harness.advanceClock(2_600);
    const answer = harness.submit('a');
    await harness.advanceClock(300);
    expect(harness.spans).to.have.length(1);
    for (const each of harness.upstreams) each.delivery = () => 'delivered';
    const reply = await harness.waitFor(answer);
    expect(reply).to.deep.equal({type: 'ended', state: 'completed'});
  });

  it('keeps accepted jobs and their ends over a change of the owner', async () => {
    await begin(2);
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
    await begin(2);
    const steps = [step(2), step(1, {after: [0]})];
    await harness.waitFor(harness.submit('a', steps));
    const ends = harness.spans.filter(s => s.task.startsWith('a/0'));
    const last = harness.spans.find(s => s.task === 'a/1/0');
    expect(last?.from).to.be.at.least(Math.max(...ends.map(({to}) => to)));
  });

  it('runs the tasks again that a reborn upstream has lost', async () => {
    await begin(1);
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

  it('starts nothing on an upstream after its leave was acknowledged', async () => {
    await begin(2);
    await harness.announce(harness.upstream(0), true);
    await harness.waitFor(harness.submit('a', [step(6)]));
    expect(harness.spans.filter(s => s.upstream === 'u0')).to.deep.equal([]);
  });

  it('fails a job whose task failed as often as allowed, and not before', async () => {
    await begin(2);
    for (const each of harness.upstreams) each.outcome = 'failed';
    const reply = await harness.waitFor(harness.submit('a'));
    expect(reply).to.deep.equal({type: 'ended', state: 'failed'});
    expect(harness.spans).to.have.length(2);
  });

  it('stops the runs of a cancelled job and starts none after', async () => {
    await begin(1);
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

  it('gives no orders while the process may have been paused', async () => {
    await begin(1);
    harness.paused = true;
    const reply = await harness.submit('a');
    expect(reply).to.deep.equal({type: 'not-leader'});
    expect(harness.spans).to.deep.equal([]);
  });

  it('tells a caller truly that nothing ran when no upstream had room', async () => {
    await begin(1);
    harness.upstream(0).runMs = 5_000;
    await harness.waitFor(harness.submitDurable('a', [step(2)]));
    const reply = await harness.waitFor(harness.submit('b'));
    expect(reply).to.deep.equal({type: 'refused', reason: 'not-in-time'});
    expect(harness.spans.some(s => s.task.startsWith('b'))).to.equal(false);
  });

  // Its tasks took room until the caller's deadline, and were stopped then.
  it('gives up a job that has begun once it cannot end before its deadline', async () => {
    await begin(1);
    harness.upstream(0).runMs = 900;
    const from = performance.now();
    const reply = await harness.waitFor(
      harness.submit('a', [step(4, {declaredMs: 900})]),
    );
    expect(reply).to.deep.equal({type: 'given-up'});
    expect(performance.now() - from).to.be.below(1_200);
    expect(harness.spans).to.have.length(2);
  });
});
