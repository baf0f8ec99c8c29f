import {expect} from 'chai';

import {ForwardingPort} from '../../src/upstreams/forwarding_port.js';
import {
  type HoldAnswer,
  type HoldOrder,
  OrderUnansweredError,
  type StartAnswer,
  type StartOrder,
  type StopAnswer,
  type StopOrder,
  type UpstreamTarget,
} from '../../src/upstreams/upstream_port.js';
import {OwnerHarness, step} from '../owner_harness.js';

const RUN_MS = 3_000;

/** Carries out all orders at once; their answers take a while. */
class SlowAnswerPort extends ForwardingPort {
  answerMs = 0;

  override start(to: UpstreamTarget, order: StartOrder): Promise<StartAnswer> {
    return this.answerLate(order.timeoutMs, super.start(to, order));
  }

  override stop(to: UpstreamTarget, order: StopOrder): Promise<StopAnswer> {
    return this.answerLate(order.timeoutMs, super.stop(to, order));
  }

  override hold(to: UpstreamTarget, order: HoldOrder): Promise<HoldAnswer> {
    return this.answerLate(order.timeoutMs, super.hold(to, order));
  }

  private async answerLate<A>(
    timeoutMs: number,
    answer: Promise<A>,
  ): Promise<A> {
    const {answerMs} = this;
    const late = answer.then(async each => {
      await delay(answerMs);
      return each;
    });
    late.catch(() => undefined);
    const timeout = delay(timeoutMs).then(() => {
      throw new OrderUnansweredError('timed out');
    });
    timeout.catch(() => undefined);
    return Promise.race([late, timeout]);
  }
}

describe('Owner with an upstream that is slow to answer', () => {
  let harness: OwnerHarness;
  let port: SlowAnswerPort;

  beforeEach(async () => {
    harness = new OwnerHarness(2, {
      wrapPort: fakePort => (port = new SlowAnswerPort(fakePort)),
    });
    await harness.setUp();
    for (const upstream of harness.upstreams) upstream.runMs = RUN_MS;
  });

  afterEach(() => harness.close());

  // Guards against work that is started again elsewhere, or given up, because
  // its machine reports slowly for a while.
  for (const answerMs of [100, 150, 250]) {
    it(`lets its work go on while answers take ${answerMs} ms`, async () => {
      await harness.waitFor(
        harness.submitDurable('job', [step(1, {declaredMs: RUN_MS})]),
      );
      await harness.advanceClock(100);
      port.answerMs = answerMs;
      await harness.advanceClock(2_000);
      port.answerMs = 0;
      await harness.advanceClock(RUN_MS);
      expect(harness.spans.map(({outcome}) => outcome)).to.deep.equal(['done']);
      expect(await harness.getJobState('job')).to.equal('completed');
    });
  }
});

function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
