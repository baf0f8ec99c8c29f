/** Orders that reach a carrier late, or whose carrier stands still. */
import {createLogger, NullMetrics} from '@mustardferry/runtime';
import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {OrderCarrier} from '../../src/instance/order_carrier.js';
import {CarrierClocks} from '../../src/instance/order_expiry.js';
import {PauseDetector} from '../../src/instance/pause_detector.js';
import type {
  OrderMessage,
  OrderOutcomeMessage,
} from '../../src/messages/order_messages.js';
import type {
  HoldOrder,
  UpstreamTarget,
} from '../../src/upstreams/upstream_port.js';
import {FakePort, FakeUpstream} from '../fake_upstreams.js';
import {HOLD} from './relay_fixture.js';

const TO = {id: 'u0', address: '10.0.0.0:1', startedAt: 1, dataCentre: 'a'};

const VALID_FOR_MS = 500;

/** Records the holds that are sent to the upstream. */
class RecordingPort extends FakePort {
  readonly holds: HoldOrder[] = [];

  override hold(to: UpstreamTarget, order: HoldOrder) {
    this.holds.push(order);
    return super.hold(to, order);
  }
}

describe('OrderCarrier', () => {
  let clock: Clock;
  let port: RecordingPort;
  let pauses: PauseDetector;
  let carrier: OrderCarrier;
  let clocks: CarrierClocks;

  beforeEach(() => {
    clock = fakeTimers.install();
    port = new RecordingPort([new FakeUpstream(TO.id, TO.address, [])]);
    pauses = new PauseDetector(() => undefined);
    carrier = createCarrier();
    clocks = new CarrierClocks();
    clocks.observe('m1', carrier.clockMs);
  });

  afterEach(() => {
    carrier.close();
    pauses.close();
    clock.uninstall();
  });

  function createCarrier(): OrderCarrier {
    return new OrderCarrier({
      pauses,
      port,
      logger: createLogger('silent'),
      metrics: new NullMetrics(),
    });
  }

  function createOrder(validForMs = VALID_FOR_MS): OrderMessage {
    const content = {kind: 'hold', order: HOLD} as const;
    const expiry = clocks.createExpiry('m1', validForMs);
    return {type: 'order', id: 7, to: TO, content, ...expiry};
  }

  async function relay(message: OrderMessage): Promise<OrderOutcomeMessage> {
    const reply = carrier.relayOrder(message);
    await clock.tickAsync(400);
    return reply;
  }

  async function expectNotSent(message: OrderMessage): Promise<void> {
    const {id, outcome, clockMs} = await relay(message);
    expect(outcome).to.deep.equal({type: 'not-sent', cause: 'expired'});
    expect(id).to.equal(message.id);
    expect(clockMs).to.be.a('number');
    expect(port.holds).to.deep.equal([]);
  }

  it('sends an order that has not expired', async () => {
    const message = createOrder();
    clock.tick(VALID_FOR_MS - 300);
    const {outcome} = await relay(message);
    expect(outcome.type).to.equal('answered');
    expect(port.holds).to.have.length(1);
  });

  // Guards against an order that a frozen carrier sends once it goes on, to an
  // upstream that has restarted since.
  it('does not send an order that it reads after its expiry', async () => {
    const message = createOrder();
    clock.tick(VALID_FOR_MS);
    await expectNotSent(message);
  });

  it('does not send an order that it reads after a suspension of its machine', async () => {
    const message = createOrder();
    clock.setSystemTime(Date.now() + 3_000);
    await expectNotSent(message);
  });

  it('does not send an order to an earlier process at its address', async () => {
    const message = createOrder();
    carrier.close();
    carrier = createCarrier();
    await expectNotSent(message);
  });

  it('sends an order of a leader that sets no expiry', async () => {
    clocks.forget('m1');
    const message = createOrder();
    expect(message.expiresAtMs).to.equal(undefined);
    expect((await relay(message)).outcome.type).to.equal('answered');
  });

  // Guards against an order that waits for a connection past its expiry.
  it('waits for an answer until the expiry at most', async () => {
    const message = createOrder();
    clock.tick(VALID_FOR_MS - 50);
    await relay(message);
    expect(port.holds[0]?.timeoutMs).to.be.within(49, 50);
  });

  it('tells the leader its clock about once a second', async () => {
    const readings: unknown[] = [];
    for (let i = 0; i < 10; i++) {
      readings.push((await relay(createOrder())).clockMs);
    }
    const known = readings.filter(reading => reading !== undefined);
    expect(known).to.have.length(4);
  });
});

describe('CarrierClocks', () => {
  let clock: Clock;
  let clocks: CarrierClocks;

  beforeEach(() => {
    clock = fakeTimers.install();
    clocks = new CarrierClocks();
  });

  afterEach(() => clock.uninstall());

  function estimate(): number | undefined {
    return clocks.createExpiry('m1', 0).expiresAtMs;
  }

  const readings = [
    {title: 'a reading without delay', later: 2_000, expected: 2_000},
    {
      title: 'the earlier one if a reading is late',
      later: 1_500,
      expected: 2_000,
    },
    {title: 'that of another process', later: 900_000, expected: 900_000},
    {
      title: 'a lower one of another process',
      later: -90_000,
      expected: -90_000,
    },
  ];
  for (const {title, later, expected} of readings) {
    it(`uses ${title}`, () => {
      clocks.observe('m1', 1_000);
      clock.tick(1_000);
      clocks.observe('m1', later);
      expect(estimate()).to.equal(expected);
    });
  }

  // Guards against clocks that drift apart.
  it('replaces an old reading by a lower one', () => {
    clocks.observe('m1', 1_000);
    clock.tick(20_000);
    clocks.observe('m1', 20_900);
    expect(estimate()).to.equal(20_900);
  });

  it('forgets a carrier', () => {
    clocks.observe('m1', 1_000);
    clocks.forget('m1');
    expect(clocks.has('m1')).to.equal(false);
    expect(estimate()).to.equal(undefined);
  });
});
