import {NullMetrics} from '@mustardferry/runtime';
import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {MeasuredPort} from '../../src/owner/measured_port.js';
import {OwnerActivity} from '../../src/owner/owner_activity.js';
import {
  type HoldAnswer,
  type HoldOrder,
  OrderNotSentError,
  OrderUnansweredError,
  type StartAnswer,
  type StopAnswer,
  UpstreamPort,
  type UpstreamTarget,
} from '../../src/upstreams/upstream_port.js';

const TO: UpstreamTarget = {
  id: 'u',
  address: '10.0.0.1:1',
  startedAt: 1,
  dataCentre: 'a',
};
const TASK = {job: 'j', step: 0, index: 0};
const RUN = {token: 1, timeoutMs: 200, task: TASK, run: 1};
const START = {...RUN, payload: '', leaseUntil: 0};
const HOLD: HoldOrder = {token: 1, timeoutMs: 200, acknowledged: 0, waitMs: 0};

/** Answers or fails after a delay. */
class SlowPort extends UpstreamPort {
  delayMs = 0;
  err: Error | null = null;
  readonly released: UpstreamTarget[] = [];

  override start(): Promise<StartAnswer> {
    return this.after({type: 'started', clockMs: 1});
  }

  override stop(): Promise<StopAnswer> {
    return this.after({type: 'stopping'});
  }

  override hold(): Promise<HoldAnswer> {
    return this.after({type: 'superseded'});
  }

  override releaseUpstream(to: UpstreamTarget): void {
    this.released.push(to);
  }

  private after<A>(answer: A): Promise<A> {
    const {err, delayMs} = this;
    return new Promise((resolve, reject) => {
      setTimeout(() => (err ? reject(err) : resolve(answer)), delayMs);
    });
  }
}

describe('MeasuredPort', () => {
  let clock: Clock;
  let inner: SlowPort;
  let activity: OwnerActivity;
  let port: MeasuredPort;

  beforeEach(() => {
    clock = fakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance'],
    });
    inner = new SlowPort();
    activity = new OwnerActivity(new NullMetrics());
    port = new MeasuredPort(inner, activity);
  });

  afterEach(() => clock.uninstall());

  /** Waits for an order; resolves with its answer, or with its error. */
  async function settle(order: Promise<unknown>): Promise<unknown> {
    const settled = order.catch((err: unknown) => err);
    await clock.tickAsync(1_000);
    return settled;
  }

  // Guards against orders that are recorded as another kind.
  it('records the duration of each kind of order', async () => {
    inner.delayMs = 5;
    expect(await settle(port.start(TO, START))).to.have.property(
      'type',
      'started',
    );
    inner.delayMs = 10;
    expect(await settle(port.stop(TO, RUN))).to.deep.equal({type: 'stopping'});
    inner.delayMs = 20;
    expect(await settle(port.hold(TO, HOLD))).to.deep.equal({
      type: 'superseded',
    });
    expect(activity.takeReport()).to.deep.include({
      unanswered: 0,
      notSent: 0,
      steps: {
        start: {count: 1, meanMs: 5, longestMs: 5},
        stop: {count: 1, meanMs: 10, longestMs: 10},
        hold: {count: 1, meanMs: 20, longestMs: 20},
      },
    });
  });

  // Guards against swallowed errors, and durations that leave out the orders
  // without an answer, which take longest.
  it('counts an order without an answer, and rethrows its error', async () => {
    inner.delayMs = 200;
    inner.err = new OrderUnansweredError('cut');
    expect(await settle(port.start(TO, START))).to.equal(inner.err);
    expect(activity.takeReport()).to.deep.include({
      unanswered: 1,
      notSent: 0,
      steps: {start: {count: 1, meanMs: 200, longestMs: 200}},
    });
  });

  // Guards against unsent orders that count as those of a silent upstream.
  it('distinguishes unsent orders from those without an answer', async () => {
    inner.err = new OrderNotSentError('refused');
    expect(await settle(port.hold(TO, HOLD))).to.equal(inner.err);
    expect(activity.takeReport()).to.deep.include({unanswered: 0, notSent: 1});
  });

  // Guards against connections that stay open after their upstream has left.
  it('forwards releases', () => {
    port.releaseUpstream(TO);
    expect(inner.released).to.deep.equal([TO]);
  });
});
