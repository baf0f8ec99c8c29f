/** Orders that other members carry: what the leader learns of each. */
import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {RecordingLogger} from '../../../runtime/tests/recording_logger.js';
import type {Carrier} from '../../src/instance/carrier_selector.js';
import {carryOrder} from '../../src/instance/order_carrier.js';
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
import {COUNT, CountingPort, HOLD, MEMBERS} from './relay_fixture.js';

describe('RelayedPort', () => {
  let clock: Clock;
  let upstreams: FakeUpstream[];
  let direct: CountingPort;
  let ports: Map<string, CountingPort>;
  let connected: Carrier[];
  let known: number;
  let silent: Set<string>;
  let sent: (OrderMessage | OrdersEndMessage)[];
  let port: RelayedPort;
  let logger: RecordingLogger;

  beforeEach(() => {
    clock = fakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance'],
    });
    upstreams = Array.from(
      {length: COUNT},
      (_, i) => new FakeUpstream(`u${i}`, `10.0.0.${i}:1`, []),
    );
    direct = new CountingPort(upstreams);
    known = 0;
    connected = [...MEMBERS];
    ports = new Map(
      connected.map(({address}) => [address, new CountingPort(upstreams)]),
    );
    silent = new Set();
    sent = [];
    logger = new RecordingLogger();
    port = new RelayedPort({
      direct,
      carriers: () => connected,
      upstreams: () => known,
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
    const reached = connected.some(({address}) => address === carrier);
    const carried = ports.get(carrier);
    if (message.type !== 'order' || !carried || !reached) return reached;
    if (!silent.has(carrier)) {
      void carryOrder(carried, message).then(({id, outcome}) =>
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
    for (let i = 0; i < COUNT; i++) await hold(i);
  }

  /** Name of the answer, or of the error, that comes within a time. */
  async function hold(index: number, withinMs = 300): Promise<string> {
    let found = 'open';
    void port.hold(target(index), HOLD).then(
      ({type}) => (found = type),
      (err: unknown) => (found = (err as Error).constructor.name),
    );
    await clock.tickAsync(withinMs);
    return found;
  }

  function carriedBy(carrier: string): number {
    return ports.get(carrier)?.holds ?? 0;
  }

  it('gives the orders of a small pool itself, which costs no hop', async () => {
    for (let i = 0; i < 60; i++) await hold(i);
    expect(direct.holds).to.equal(60);
    expect(sent).to.deep.equal([]);
  });

  it('lets members of the same data centre carry the orders of a large one', async () => {
    await holdAll();
    ports.forEach(each => (each.holds = 0));
    direct.holds = 0;
    await holdAll();
    expect(direct.holds).to.equal(0);
    expect(carriedBy('m3')).to.equal(COUNT / 2);
    expect(Math.abs(carriedBy('m1') - carriedBy('m2'))).to.be.at.most(1);
  });

  it('lets members carry the first orders of a term, too, as so many new connections stop a leader', async () => {
    known = COUNT;
    await holdAll();
    expect(direct.holds).to.equal(0);
    expect(carriedBy('m3')).to.equal(COUNT / 2);
  });

  it('reports an order that a member could not deliver as never sent', async () => {
    await holdAll();
    (upstreams[0] as FakeUpstream).delivery = () => 'unreached';
    expect(await hold(0)).to.equal(OrderNotSentError.name);
  });

  it('reports an order as unanswered when its member stays silent, as it may still be carried out', async () => {
    await holdAll();
    silent = new Set(['m1', 'm2', 'm3']);
    expect(await hold(0, 750)).to.equal(OrderUnansweredError.name);
  });

  it('repeats a hold past a silent member, so that its upstreams keep their leases', async () => {
    await holdAll();
    silent = new Set(['m3']);
    expect(await hold(1)).to.equal('held');
    expect(await hold(3, 5)).to.equal('held');
  });

  it('goes back to a member that was only late, so that its connections are used again', async () => {
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
    for (let i = 1; i < COUNT; i += 2) await hold(i);
    expect(carriedBy('m3')).to.equal(COUNT / 2);
  });

  it('waits for the late outcome of a start, which must not be given twice', async () => {
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

  /** Gives holds to all upstreams at a time, in rounds; returns what is sent. */
  async function holdInRounds(rounds: number): Promise<number> {
    await holdAll();
    await holdAll();
    sent = [];
    for (let round = 0; round < rounds; round++) {
      for (let i = 0; i < COUNT; i++) {
        port.hold(target(i), HOLD).catch(() => undefined);
      }
      await clock.tickAsync(750);
    }
    return sent.length;
  }

  it('repeats few holds where most members are late, as these would add to the load', async () => {
    silent = new Set(['m1', 'm3']);
    const most = 10 * COUNT;
    expect(await holdInRounds(10)).to.be.at.most(most + COUNT + most / 10);
  });

  // A leader without processor time would else give all orders twice.
  it('repeats nothing and keeps its paths while no member answers', async () => {
    await holdAll();
    await holdAll();
    silent = new Set(['m1', 'm2', 'm3']);
    sent = [];
    for (let i = 0; i < COUNT; i++) {
      port.hold(target(i), HOLD).catch(() => undefined);
    }
    await clock.tickAsync(400);
    expect(sent).to.have.length(COUNT);
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
    for (let i = 1; i < COUNT; i += 2) await hold(i);
    expect(carriedBy('m3')).to.equal(COUNT / 2);
  });

  it('takes another path where a member that answers does not reach the upstream', async () => {
    await holdAll();
    await holdAll();
    const cut = ports.get('m3');
    if (cut) cut.reaches = false;
    expect(await hold(1)).to.equal(OrderUnansweredError.name);
    expect(await hold(1)).to.equal('held');
  });

  it('reports the orders of a member whose connection ends', async () => {
    await holdAll();
    silent = new Set(['m3']);
    const answer = port.hold(target(1), HOLD).catch((err: unknown) => err);
    await clock.tickAsync(1);
    port.lost('m3');
    await clock.tickAsync(1);
    expect(await answer).to.be.instanceOf(OrderUnansweredError);
  });

  // Guards against a line for each order that a silent member carried.
  it('reports a member that is avoided once', async () => {
    await holdAll();
    silent = new Set(['m3']);
    const holds = [1, 3, 5, 7].map(i => port.hold(target(i), HOLD));
    await clock.tickAsync(300);
    expect(await Promise.all(holds)).to.have.length(4);
    expect(logger.of('order-carrier-avoided')).to.have.length(1);
  });

  it('goes back to the direct way when no member is connected', async () => {
    await holdAll();
    connected = [];
    direct.holds = 0;
    expect(await hold(0)).to.equal('held');
    expect(direct.holds).to.equal(1);
  });

  it('tells the member that carried the orders of an upstream of its end', async () => {
    await holdAll();
    await holdAll();
    sent = [];
    port.releaseUpstream(target(1));
    expect(sent).to.deep.equal([{type: 'orders-end', to: target(1)}]);
    expect(direct.released).to.deep.equal([target(1)]);
  });

  // Guards against connections to an upstream that nothing ends any more.
  it('gives no orders for an upstream that was released meanwhile', async () => {
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

  // Guards against holds that a release ends for another life of the id.
  it('goes on with the orders for another life of a released upstream', async () => {
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
