/** Outcomes that the leader sees of orders that carriers relay. */
import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {RecordingLogger} from '../../../runtime/tests/recording_logger.js';
import type {Carrier} from '../../src/instance/carrier_selector.js';
import {relayOrder} from '../../src/instance/order_carrier.js';
import {RelayedPort} from '../../src/instance/relayed_port.js';
import type {
  OrderMessage,
  OrdersEndMessage,
} from '../../src/messages/order_messages.js';
import {
  OrderNotSentError,
  OrderUnansweredError,
  type UpstreamTarget,
} from '../../src/upstreams/upstream_port.js';
import {FakeUpstream} from '../fake_upstreams.js';
import {CARRIERS, CountingPort, HOLD, POOL_SIZE} from './relay_fixture.js';

describe('RelayedPort', () => {
  let clock: Clock;
  let upstreams: FakeUpstream[];
  let direct: CountingPort;
  let ports: Map<string, CountingPort>;
  let connected: Carrier[];
  let knownUpstreams: number;
  let silent: Set<string>;
  let sent: (OrderMessage | OrdersEndMessage)[];
  let port: RelayedPort;
  let logger: RecordingLogger;

  beforeEach(() => {
    clock = fakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance'],
    });
    upstreams = Array.from(
      {length: POOL_SIZE},
      (_, i) => new FakeUpstream(`u${i}`, `10.0.0.${i}:1`, []),
    );
    direct = new CountingPort(upstreams);
    knownUpstreams = 0;
    connected = [...CARRIERS];
    ports = new Map(
      connected.map(({address}) => [address, new CountingPort(upstreams)]),
    );
    silent = new Set();
    sent = [];
    logger = new RecordingLogger();
    port = new RelayedPort({
      directPort: direct,
      getCarriers: () => connected,
      upstreams: () => knownUpstreams,
      send: (carrier, message) => deliver(carrier, message),
      logger,
    });
  });

  afterEach(() => clock.uninstall());

  function deliver(
    carrier: string,
    message: OrderMessage | OrdersEndMessage,
  ): boolean {
    sent.push(message);
    const isUp = connected.some(({address}) => address === carrier);
    const carrierPort = ports.get(carrier);
    if (message.type !== 'order' || !carrierPort || !isUp) return isUp;
    if (!silent.has(carrier)) {
      void relayOrder(carrierPort, message).then(({id, outcome}) =>
        port.outcome(carrier, id, outcome),
      );
    }
    return true;
  }

  function target(index: number): UpstreamTarget {
    const {id, address, startedAt} = upstreams[index] as FakeUpstream;
    return {id, address, startedAt, dataCentre: index % 2 === 0 ? 'a' : 'b'};
  }

  async function holdAll(): Promise<void> {
    for (let i = 0; i < POOL_SIZE; i++) await hold(i);
  }

  /** Returns the type of the answer or the name of the error, or `open`. */
  async function hold(index: number, withinMs = 300): Promise<string> {
    let found = 'open';
    void port.hold(target(index), HOLD).then(
      ({type}) => (found = type),
      (err: unknown) => (found = (err as Error).constructor.name),
    );
    await clock.tickAsync(withinMs);
    return found;
  }

  function countHolds(carrier: string): number {
    return ports.get(carrier)?.holds ?? 0;
  }

  it('sends the orders of a small pool directly, without the delay of a relay', async () => {
    for (let i = 0; i < 16; i++) await hold(i);
    expect(direct.holds).to.equal(16);
    expect(sent).to.deep.equal([]);
  });

  it('relays the orders of a large pool through carriers in the same data centre', async () => {
    await holdAll();
    ports.forEach(each => (each.holds = 0));
    direct.holds = 0;
    await holdAll();
    expect(direct.holds).to.equal(0);
    expect(countHolds('m3')).to.equal(POOL_SIZE / 2);
    expect(Math.abs(countHolds('m1') - countHolds('m2'))).to.be.at.most(1);
  });

  it('relays the first orders of a term, too, as opening so many connections blocks a leader', async () => {
    knownUpstreams = POOL_SIZE;
    await holdAll();
    expect(direct.holds).to.equal(0);
    expect(countHolds('m3')).to.equal(POOL_SIZE / 2);
  });

  it('reports an order that a carrier could not deliver as not sent', async () => {
    await holdAll();
    (upstreams[0] as FakeUpstream).delivery = () => 'unreached';
    expect(await hold(0)).to.equal(OrderNotSentError.name);
  });

  it('reports an order as unanswered when its carrier is silent, as it may still take effect', async () => {
    await holdAll();
    silent = new Set(['m1', 'm2', 'm3']);
    expect(await hold(0, 750)).to.equal(OrderUnansweredError.name);
  });

  it('retries a hold through another carrier when one is silent, so that upstreams keep their leases', async () => {
    await holdAll();
    silent = new Set(['m3']);
    expect(await hold(1)).to.equal('held');
    expect(await hold(3, 5)).to.equal('held');
  });

  it('returns to a carrier that was only late, so that its connections are reused', async () => {
    await holdAll();
    await holdAll();
    silent = new Set(['m3']);
    sent = [];
    await hold(1);
    silent = new Set();
    const [late] = sent;
    if (late) deliver('m3', late);
    await clock.tickAsync(5);
    ports.forEach(each => (each.holds = 0));
    for (let i = 1; i < POOL_SIZE; i += 2) await hold(i);
    expect(countHolds('m3')).to.equal(POOL_SIZE / 2);
  });

  it('waits for the late outcome of a start, which must not be sent twice', async () => {
    await holdAll();
    await holdAll();
    silent = new Set(['m3']);
    let answered = false;
    const order = {
      token: 1,
      timeoutMs: 80,
      task: {job: 'a', step: 0, index: 0},
      run: 1,
      payload: '',
      leaseUntil: Number.MAX_SAFE_INTEGER,
    };
    sent = [];
    void port.start(target(1), order).then(() => (answered = true));
    await clock.tickAsync(400);
    expect(sent).to.have.length(1);
    silent = new Set();
    for (const message of [...sent]) deliver('m3', message);
    await clock.tickAsync(5);
    expect(answered).to.equal(true);
  });

  /** Sends holds to all upstreams at once, in rounds; counts the messages. */
  async function holdInRounds(rounds: number): Promise<number> {
    await holdAll();
    await holdAll();
    sent = [];
    for (let round = 0; round < rounds; round++) {
      for (let i = 0; i < POOL_SIZE; i++) {
        port.hold(target(i), HOLD).catch(() => undefined);
      }
      await clock.tickAsync(750);
    }
    return sent.length;
  }

  it('retries few holds when most carriers are late, as retries would add to the load', async () => {
    silent = new Set(['m1', 'm3']);
    const most = 10 * POOL_SIZE;
    expect(await holdInRounds(10)).to.be.at.most(most + POOL_SIZE + most / 10);
  });

  // Guards against a leader without processor time that sends all orders twice.
  it('retries nothing and keeps its carriers while none of them answers', async () => {
    await holdAll();
    await holdAll();
    silent = new Set(['m1', 'm2', 'm3']);
    sent = [];
    for (let i = 0; i < POOL_SIZE; i++) {
      port.hold(target(i), HOLD).catch(() => undefined);
    }
    await clock.tickAsync(400);
    expect(sent).to.have.length(POOL_SIZE);
    const late = [...sent];
    silent = new Set();
    for (const message of late) {
      if (message.type === 'order') {
        const odd = Number(message.to.id.slice(1)) % 2 === 1;
        if (odd) deliver('m3', message);
      }
    }
    for (const carrier of ['m1', 'm2']) port.lost(carrier);
    await clock.tickAsync(5);
    ports.forEach(each => (each.holds = 0));
    for (let i = 1; i < POOL_SIZE; i += 2) await hold(i);
    expect(countHolds('m3')).to.equal(POOL_SIZE / 2);
  });

  it('uses another carrier when one that answers cannot reach the upstream', async () => {
    await holdAll();
    await holdAll();
    const cut = ports.get('m3');
    if (cut) cut.isReachable = false;
    expect(await hold(1)).to.equal(OrderUnansweredError.name);
    expect(await hold(1)).to.equal('held');
  });

  it('reports the orders of a carrier whose connection closes as unanswered', async () => {
    await holdAll();
    silent = new Set(['m3']);
    const answer = port.hold(target(1), HOLD).catch((err: unknown) => err);
    await clock.tickAsync(1);
    port.lost('m3');
    await clock.tickAsync(1);
    expect(await answer).to.be.instanceOf(OrderUnansweredError);
  });

  // Guards against a log line for each order of a silent carrier.
  it('logs an avoided carrier once', async () => {
    await holdAll();
    silent = new Set(['m3']);
    const holds = [1, 3, 5, 7].map(i => port.hold(target(i), HOLD));
    await clock.tickAsync(300);
    expect(await Promise.all(holds)).to.have.length(4);
    expect(logger.of('order-carrier-avoided')).to.have.length(1);
  });

  it('sends orders directly when no carrier is connected', async () => {
    await holdAll();
    connected = [];
    direct.holds = 0;
    expect(await hold(0)).to.equal('held');
    expect(direct.holds).to.equal(1);
  });

  it('tells the carrier of an upstream when the upstream is released', async () => {
    await holdAll();
    await holdAll();
    sent = [];
    port.releaseUpstream(target(1));
    expect(sent).to.deep.equal([{type: 'orders-end', to: target(1)}]);
    expect(direct.released).to.deep.equal([target(1)]);
  });

  // Guards against reopened connections to an upstream that are never closed.
  it('sends no orders to an upstream after its release', async () => {
    await holdAll();
    await holdAll();
    silent = new Set(['m3']);
    const answer = port.hold(target(1), HOLD).catch((err: unknown) => err);
    await clock.tickAsync(10);
    port.releaseUpstream(target(1));
    sent = [];
    await clock.tickAsync(750);
    expect(sent).to.deep.equal([]);
    expect(await answer).to.be.instanceOf(OrderUnansweredError);
    expect(logger.of('order-carrier-avoided')).to.deep.equal([]);
  });

  // Guards against a release that also ends holds for another incarnation.
  it('keeps the orders for another incarnation of a released upstream', async () => {
    await holdAll();
    await holdAll();
    silent = new Set(['m3']);
    const next = {...target(1), startedAt: target(1).startedAt + 1};
    const answer = port.hold(next, HOLD);
    await clock.tickAsync(10);
    port.releaseUpstream(target(1));
    await clock.tickAsync(300);
    expect(await answer).to.include({type: 'held'});
  });
});
