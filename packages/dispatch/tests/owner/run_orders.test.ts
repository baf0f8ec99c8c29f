/** Stops: only by an owner that may give orders, and never unlooked. */
import {must} from '@mustardferry/model';
import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {UpstreamSession} from '../../src/owner/upstream_session.js';
import {
  type Delivery,
  FakePort,
  FakeUpstream,
  type RunSpan,
} from '../fake_upstreams.js';
import {OwnerHarness, step} from '../owner_harness.js';
import {createRun, NOOP_EVENTS} from './session_fixture.js';

const TASK = {job: 'a', step: 0, index: 0};

describe('Unanswered starts', () => {
  let harness: OwnerHarness;
  let fates: Partial<Record<'start' | 'stop' | 'hold', Delivery>>;

  beforeEach(async () => {
    harness = new OwnerHarness(1);
    await harness.setUp();
    await harness.advanceClock(1_010);
    const upstream = harness.upstream(0);
    upstream.runMs = 400;
    fates = {};
    upstream.delivery = order => fates[order] ?? 'delivered';
  });

  afterEach(() => harness.close());

  function outcomes(): string[] {
    return harness.spans.map(({outcome}) => outcome);
  }

  // Guards against stops of healthy runs by an owner that could not look.
  it('leave the run alone while the owner is paused', async () => {
    fates = {start: 'answer-lost'};
    const reply = harness.submit('a', [step(1, {declaredMs: 400})]);
    await harness.advanceClock(10);
    harness.paused = true;
    await harness.advanceClock(300);
    expect(outcomes()).to.deep.equal(['open']);
    harness.paused = false;
    expect(await harness.waitFor(reply)).to.include({
      state: 'completed',
    });
    expect(outcomes()).to.deep.equal(['done']);
  });

  // Guards against stops of healthy runs after a look that had no answer.
  it('leave the run alone until a hold is answered', async () => {
    fates = {start: 'answer-lost', hold: 'lost'};
    const reply = harness.submit('a', [step(1, {declaredMs: 400})]);
    await harness.advanceClock(175);
    fates = {};
    expect(await harness.waitFor(reply)).to.include({
      state: 'completed',
    });
    expect(outcomes()).to.deep.equal(['done']);
  });

  // Guards against tasks that wait for ever for a start that was lost.
  it('are forbidden and repeated once a hold does not list the run', async () => {
    fates = {start: 'lost', hold: 'lost'};
    const reply = harness.submit('a', [step(1, {declaredMs: 400})]);
    await harness.advanceClock(175);
    fates = {};
    expect(await harness.waitFor(reply)).to.include({
      state: 'completed',
    });
    expect(harness.spans.map(({run}) => run)).to.deep.equal([2]);
  });
});

describe('Stops', () => {
  let clock: Clock;
  let maySendOrders: boolean;
  let upstream: FakeUpstream;
  let spans: RunSpan[];
  let stops: number;
  let holds: number;
  let session: UpstreamSession;

  beforeEach(async () => {
    clock = fakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance'],
    });
    maySendOrders = true;
    stops = 0;
    holds = 0;
    spans = [];
    upstream = new FakeUpstream('u', '10.0.0.1:1', spans);
    upstream.runMs = 10_000;
    upstream.delivery = order => {
      if (order === 'stop') stops++;
      if (order === 'hold') holds++;
      return 'delivered';
    };
    session = new UpstreamSession({
      record: upstream.announcement(1),
      acknowledged: 0,
      clockMs: upstream.clockMs,
      token: 1,
      leaseMs: 700,
      port: new FakePort([upstream]),
      events: NOOP_EVENTS,
      maySendOrders: () => maySendOrders,
    });
    await clock.tickAsync(10);
  });

  afterEach(() => {
    session.close();
    clock.uninstall();
  });

  // Guards against stops by an old leader that wakes, or has no lease.
  it('of runs wait until the owner may order', async () => {
    const run = createRun(session, TASK);
    void session.start(run);
    await clock.tickAsync(10);
    maySendOrders = false;
    void session.stop(run);
    await clock.tickAsync(300);
    expect(stops).to.equal(0);
    maySendOrders = true;
    await clock.tickAsync(100);
    expect(stops).to.equal(1);
    expect(must(spans[0], 'no run').outcome).to.equal('stopped');
  });

  // Guards against the same for runs that the session doesn't track.
  it('of strays wait until the owner may order', async () => {
    maySendOrders = false;
    void session.forbidRun({task: TASK, run: 1});
    await clock.tickAsync(300);
    expect(stops).to.equal(0);
    maySendOrders = true;
    await clock.tickAsync(100);
    expect(stops).to.equal(1);
  });

  // Guards against stops that outlive the leader that wanted them.
  it('are given up with the session', async () => {
    const run = createRun(session, TASK);
    void session.start(run);
    await clock.tickAsync(10);
    maySendOrders = false;
    void session.stop(run);
    void session.forbidRun({task: TASK, run: 1});
    session.close();
    maySendOrders = true;
    await clock.tickAsync(1_000);
    expect(stops).to.equal(0);
  });

  // Guards against connections to a released upstream that nothing ends.
  it('are followed by no hold once the session is closed', async () => {
    const run = createRun(session, TASK);
    void session.start(run);
    await clock.tickAsync(10);
    void session.stop(run);
    session.close();
    holds = 0;
    await clock.tickAsync(1_000);
    expect(stops).to.equal(1);
    expect(holds).to.equal(0);
  });
});
