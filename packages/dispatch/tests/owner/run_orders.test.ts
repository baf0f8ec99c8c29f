/** Stops, which need the right to send orders and a current list of runs. */
import {must} from '@mustardferry/model';
import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {EvacuationTable} from '../../src/jobs/evacuations.js';
import type {SessionEvents} from '../../src/owner/session_types.js';
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
  let deliveries: Partial<Record<'start' | 'stop' | 'hold', Delivery>>;

  beforeEach(async () => {
    harness = new OwnerHarness(1);
    await harness.setUp();
    await harness.advanceClock(1_010);
    const upstream = harness.upstream(0);
    upstream.runMs = 400;
    deliveries = {};
    upstream.delivery = order => deliveries[order] ?? 'delivered';
  });

  afterEach(() => harness.close());

  function outcomes(): string[] {
    return harness.spans.map(({outcome}) => outcome);
  }

  // Guards against stops of healthy runs by an owner that could send no hold.
  it('do not stop the run while the owner is paused', async () => {
    deliveries = {start: 'answer-lost'};
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

  // Guards against stops of healthy runs after a hold that had no answer.
  it('do not stop the run until a hold is answered', async () => {
    deliveries = {start: 'answer-lost', hold: 'lost'};
    const reply = harness.submit('a', [step(1, {declaredMs: 400})]);
    await harness.advanceClock(175);
    deliveries = {};
    expect(await harness.waitFor(reply)).to.include({
      state: 'completed',
    });
    expect(outcomes()).to.deep.equal(['done']);
  });

  // Guards against tasks that wait forever for a lost start.
  it('are forbidden and repeated once a hold does not list the run', async () => {
    deliveries = {start: 'lost', hold: 'lost'};
    const reply = harness.submit('a', [step(1, {declaredMs: 400})]);
    await harness.advanceClock(175);
    deliveries = {};
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
    session = openSession();
    await clock.tickAsync(10);
  });

  function openSession(events: Partial<SessionEvents> = {}): UpstreamSession {
    return new UpstreamSession({
      record: upstream.announcement(1),
      acknowledged: 0,
      clockMs: upstream.clockMs,
      token: 1,
      leaseMs: 700,
      maxLeaseMs: 1_000,
      evacuations: new EvacuationTable(),
      port: new FakePort([upstream]),
      events: {...NOOP_EVENTS, ...events},
      maySendOrders: () => maySendOrders,
    });
  }

  afterEach(() => {
    session.close();
    clock.uninstall();
  });

  // Guards against stops by a former leader that resumes, or has no lease.
  it('of runs wait until the owner may send orders', async () => {
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
  it('of untracked runs wait until the owner may send orders', async () => {
    maySendOrders = false;
    void session.forbidRun({task: TASK, run: 1});
    await clock.tickAsync(300);
    expect(stops).to.equal(0);
    maySendOrders = true;
    await clock.tickAsync(100);
    expect(stops).to.equal(1);
  });

  // Guards against stops that are sent after the leader's session is closed.
  it('are given up when the session is closed', async () => {
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

  // Guards against connections to a released upstream that are never closed.
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

  // Guards against tasks that run again after a refusal of their run number,
  // while the end of the run that has used it is not listed yet.
  it('that are refused as older runs count only after all ends are listed', async () => {
    const seen: string[] = [];
    session.close();
    session = openSession({
      ended: async (_, ends) => {
        seen.push(...ends.map(({outcome}) => outcome));
        return true;
      },
      startRefused: (_, reason) => void seen.push(reason),
    });
    await clock.tickAsync(10);
    upstream.maxListedEnds = 2;
    upstream.runMs = 1;
    for (let index = 3; index >= 0; index--) {
      const order = {token: 1, timeoutMs: 100, payload: '', run: 1};
      const leaseUntil = upstream.clockMs + 500;
      upstream.start({...order, task: {...TASK, index}, leaseUntil});
      await clock.tickAsync(2);
    }
    void session.start(createRun(session, TASK));
    await clock.tickAsync(1_000);
    expect(seen).to.deep.equal(['done', 'done', 'done', 'done']);
  });

  // Guards against a task that is started elsewhere while an order to the
  // earlier incarnation of its silent upstream keeps its run alive.
  it('of runs that moved to the next incarnation wait for their leases', async () => {
    let lostAt = Infinity;
    session.close();
    session = openSession({runLost: () => void (lostAt = performance.now())});
    await clock.tickAsync(10);
    upstream.delivery = () => 'lost';
    const movedAt = performance.now();
    void session.verifyRun(createRun(session, TASK));
    await clock.tickAsync(5_000);
    expect(lostAt - movedAt).to.be.within(1_000, 2_000);
  });
});
