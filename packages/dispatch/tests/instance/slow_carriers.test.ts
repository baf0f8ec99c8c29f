/** Effects of slow carriers on the number of orders and on runs. */
import {createLogger} from '@mustardferry/runtime';
import {expect} from 'chai';
import prand from 'pure-rand';

import {relayOrder} from '../../src/instance/order_carrier.js';
import {RelayedPort} from '../../src/instance/relayed_port.js';
import type {
  OrderMessage,
  OrdersEndMessage,
} from '../../src/messages/order_messages.js';
import {ForwardingPort} from '../../src/upstreams/forwarding_port.js';
import type {UpstreamPort} from '../../src/upstreams/upstream_port.js';
import {
  type HoldAnswer,
  type HoldOrder,
  type StartAnswer,
  type StartOrder,
  type StopAnswer,
  type StopOrder,
  type UpstreamTarget,
} from '../../src/upstreams/upstream_port.js';
import {type FakePort, findOverlappingRuns} from '../fake_upstreams.js';
import {OwnerHarness, step} from '../owner_harness.js';

/** Number of upstreams, most of whose orders are relayed. */
const UPSTREAM_COUNT = 96;

const CARRIERS = ['m1', 'm2', 'm3', 'm4', 'm5', 'm6'].map(address => ({
  address,
  dataCentre: 'a',
}));

/** Messages per thousand whose packet is lost, in each direction. */
const LOST_PER_MILLE = 13;

/** Delay in ms of a lost packet and of all later ones on its connection. */
const RETRANSMISSION_MS = 220;

/** Maximum ratio of the orders with packet loss to those without. */
const MAX_AMPLIFICATION = 2;

const SEED = 1;

const JOBS = 300;
const JOB_EVERY_MS = 5;

/** Counts the orders that the leader sends directly. */
class DirectPort extends ForwardingPort {
  orders = 0;

  override start(to: UpstreamTarget, order: StartOrder): Promise<StartAnswer> {
    this.orders++;
    return super.start(to, order);
  }

  override stop(to: UpstreamTarget, order: StopOrder): Promise<StopAnswer> {
    this.orders++;
    return super.stop(to, order);
  }

  override hold(to: UpstreamTarget, order: HoldOrder): Promise<HoldAnswer> {
    this.orders++;
    return super.hold(to, order);
  }
}

/** Connections to carriers; each delivers its messages in order. */
class Connections {
  losesPackets = false;
  readonly cut = new Set<string>();
  direct: DirectPort | null = null;
  private readonly freeAt = new Map<string, number>();
  private readonly rng = prand.xoroshiro128plus(SEED);
  private relayedPort: RelayedPort | null = null;

  createPort(port: FakePort): UpstreamPort {
    this.direct = new DirectPort(port);
    this.relayedPort = new RelayedPort({
      directPort: this.direct,
      getCarriers: () => CARRIERS,
      upstreams: () => 0,
      send: (carrier, message) => this.send(port, carrier, message),
      logger: createLogger('silent'),
    });
    return this.relayedPort;
  }

  private send(
    port: FakePort,
    carrier: string,
    message: OrderMessage | OrdersEndMessage,
  ): boolean {
    if (message.type !== 'order') return true;
    this.deliver(`to ${carrier}`, carrier, () => {
      void relayOrder(port, message).then(({id, outcome}) =>
        this.deliver(`from ${carrier}`, carrier, () =>
          this.relayedPort?.outcome(carrier, id, outcome),
        ),
      );
    });
    return true;
  }

  private deliver(connection: string, carrier: string, run: () => void): void {
    if (this.cut.has(carrier)) return;
    const now = performance.now();
    const freeAt = this.freeAt.get(connection) ?? 0;
    const isLost =
      this.losesPackets &&
      freeAt <= now &&
      this.randomBelow(1_000) < LOST_PER_MILLE;
    const at = Math.max(now + 1 + (isLost ? RETRANSMISSION_MS : 0), freeAt);
    this.freeAt.set(connection, at);
    setTimeout(run, at - now);
  }

  private randomBelow(limit: number): number {
    return prand.unsafeUniformIntDistribution(0, limit - 1, this.rng);
  }
}

describe('Owner with slow carriers', () => {
  let harness: OwnerHarness;
  let connections: Connections;
  let orders: number;

  beforeEach(async () => {
    connections = new Connections();
    harness = new OwnerHarness(UPSTREAM_COUNT, {
      wrapPort: port => connections.createPort(port),
    });
    orders = 0;
    for (const each of harness.upstreams) {
      each.delivery = () => {
        orders++;
        return 'delivered';
      };
    }
    await harness.setUp();
    await submitJobs('warm');
  });

  afterEach(async () => {
    expect(findOverlappingRuns(harness.spans)).to.deep.equal([]);
    await harness.close();
  });

  /** Submits jobs of four tasks; returns the number of orders sent for them. */
  async function submitJobs(name: string): Promise<number> {
    const before = orders;
    const replies: Promise<unknown>[] = [];
    for (let i = 0; i < JOBS; i++) {
      replies.push(harness.submit(`${name}${i}`, [step(4)]));
      await harness.advanceClock(JOB_EVERY_MS);
    }
    await harness.waitFor(Promise.all(replies));
    return orders - before;
  }

  function countRuns(name: string): number {
    return harness.spans.filter(({task}) => task.startsWith(name)).length;
  }

  it('sends at most twice the orders while connections lose packets', async () => {
    const undisturbed = await submitJobs('usual');
    connections.losesPackets = true;
    const disturbed = await submitJobs('slow');
    expect(disturbed).to.be.at.most(undisturbed * MAX_AMPLIFICATION);
  });

  // The leader can't send the orders of a large pool besides its other work.
  it('keeps using carriers while their connections lose packets', async () => {
    const before = connections.direct?.orders;
    connections.losesPackets = true;
    await submitJobs('slow');
    expect(connections.direct?.orders).to.equal(before);
  });

  it('starts no task twice when its answer is late', async () => {
    connections.losesPackets = true;
    await submitJobs('slow');
    expect(countRuns('slow')).to.equal(JOBS * 4);
  });

  it('keeps the runs on the upstreams of a carrier that is cut off', async () => {
    for (const each of harness.upstreams) each.runMs = 900;
    const replies = Array.from({length: 24}, (_, i) =>
      harness.submit(`long${i}`, [step(4, {declaredMs: 900})]),
    );
    await harness.advanceClock(300);
    connections.cut.add('m1');
    await harness.waitFor(Promise.all(replies));
    expect(countRuns('long')).to.equal(24 * 4);
  });
});
