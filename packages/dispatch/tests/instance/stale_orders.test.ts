/** Orders that a frozen carrier has received, and reads once it goes on. */
import {createLogger, NullMetrics} from '@mustardferry/runtime';
import {expect} from 'chai';

import {OrderCarrier} from '../../src/instance/order_carrier.js';
import {RelayedPort} from '../../src/instance/relayed_port.js';
import type {
  OrderMessage,
  OrdersEndMessage,
} from '../../src/messages/order_messages.js';
import type {UpstreamPort} from '../../src/upstreams/upstream_port.js';
import {type FakePort, findOverlappingRuns} from '../fake_upstreams.js';
import {OwnerHarness} from '../owner_harness.js';

/** Above the limit for sending all orders directly. */
const UPSTREAM_COUNT = 24;

const CARRIERS = ['m1', 'm2'].map(address => ({address, dataCentre: 'a'}));

const FREEZE_MS = 3_500;
const RESTART_AFTER_MS = 1_500;

/** Delay in ms of a message between members. */
const TRANSIT_MS = 1;

/** The leader's carriers; a frozen one reads its messages when it goes on. */
class Carriers {
  private readonly carriers = new Map<string, OrderCarrier>();
  private readonly frozen = new Map<string, (() => void)[]>();
  private relayedPort: RelayedPort | null = null;

  createPort(port: FakePort): UpstreamPort {
    const relayedPort = new RelayedPort({
      directPort: port,
      getCarriers: () => CARRIERS,
      upstreams: () => UPSTREAM_COUNT,
      send: (carrier, message) => this.send(carrier, message),
      logger: createLogger('silent'),
    });
    this.relayedPort = relayedPort;
    for (const {address} of CARRIERS) {
      const carrier = new OrderCarrier({
        pauses: {suspendedMs: 0},
        port,
        logger: createLogger('silent'),
        metrics: new NullMetrics(),
      });
      this.carriers.set(address, carrier);
      relayedPort.clocks.observe(address, carrier.clockMs);
    }
    return relayedPort;
  }

  freeze(carrier: string): void {
    this.frozen.set(carrier, []);
  }

  resume(carrier: string): void {
    const received = this.frozen.get(carrier) ?? [];
    this.frozen.delete(carrier);
    for (const read of received) read();
  }

  close(): void {
    for (const carrier of this.carriers.values()) carrier.close();
  }

  private send(
    address: string,
    message: OrderMessage | OrdersEndMessage,
  ): boolean {
    if (message.type !== 'order') return true;
    const read = () => void this.relay(address, message);
    setTimeout(() => {
      const received = this.frozen.get(address);
      if (received) received.push(read);
      else read();
    }, TRANSIT_MS);
    return true;
  }

  private async relay(address: string, message: OrderMessage): Promise<void> {
    const reply = await this.carriers.get(address)?.relayOrder(message);
    if (!reply || !this.relayedPort) return;
    const {id, outcome, clockMs} = reply;
    if (clockMs !== undefined)
      this.relayedPort.clocks.observe(address, clockMs);
    this.relayedPort.outcome(address, id, outcome);
  }
}

describe('Owner with a carrier that freezes', () => {
  let harness: OwnerHarness;
  let carriers: Carriers;

  beforeEach(async () => {
    carriers = new Carriers();
    harness = new OwnerHarness(UPSTREAM_COUNT, {
      wrapPort: port => carriers.createPort(port),
    });
    await harness.setUp();
    // Clocks that begin anew are far behind those before.
    await harness.advanceClock(10_000);
  });

  afterEach(async () => {
    carriers.close();
    await harness.close();
  });

  /** Freezes a carrier while jobs go on and upstreams restart. */
  async function playFreeze(durable: boolean): Promise<void> {
    let frozenMs = 0;
    for (let i = 0; frozenMs < FREEZE_MS + 1_000; i++, frozenMs += 10) {
      if (frozenMs === 200) carriers.freeze('m1');
      if (frozenMs === 200 + RESTART_AFTER_MS) {
        for (const each of harness.upstreams.slice(0, 12)) {
          each.restart();
          void harness.announce(each);
        }
      }
      if (frozenMs === 200 + FREEZE_MS) carriers.resume('m1');
      void (durable
        ? harness.submitDurable(`job${i}`)
        : harness.submit(`job${i}`));
      await harness.advanceClock(10);
    }
    await harness.advanceClock(4_000);
  }

  // Guards against the start of a task whose end was noted seconds before, on
  // an upstream that has restarted and knows neither the stop nor the token.
  it('sends no old start to an upstream that has restarted', async () => {
    await playFreeze(true);
    const doneAt = new Map<string, number>();
    for (const {task, to, outcome} of harness.spans) {
      if (outcome === 'done' && !doneAt.has(task)) doneAt.set(task, to);
    }
    const late = harness.spans.filter(
      ({task, from}) => from > (doneAt.get(task) ?? Infinity),
    );
    expect(late).to.deep.equal([]);
  });

  it('runs no task twice at a time', async () => {
    await playFreeze(false);
    expect(findOverlappingRuns(harness.spans)).to.deep.equal([]);
  });

  it('uses the carrier again', async () => {
    await playFreeze(true);
    const states = await Promise.all(
      Array.from({length: 450}, (_, i) => harness.getJobState(`job${i}`)),
    );
    expect(states.filter(state => state !== 'completed')).to.deep.equal([]);
  });
});
