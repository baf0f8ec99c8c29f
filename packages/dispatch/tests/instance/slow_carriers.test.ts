/** What members that carry orders late cost: orders, runs and upstreams. */
import {createLogger} from '@mustardferry/runtime';
import {expect} from 'chai';
import prand from 'pure-rand';

import {carryOrder} from '../../src/instance/order_carrier.js';
import {RelayedPort} from '../../src/instance/relayed_port.js';
import type {
  OrderMessage,
  OrdersEndMessage,
} from '../../src/messages/order_messages.js';
import {
  type HoldAnswer,
  type HoldOrder,
  type StartAnswer,
  type StartOrder,
  type StopAnswer,
  type StopOrder,
  UpstreamPort,
  type UpstreamTarget,
} from '../../src/upstreams/upstream_port.js';
import {type FakePort, findOverlappingRuns} from '../fake_upstreams.js';
import {OwnerHarness, step} from '../owner_harness.js';

/** Upstreams, most of whose orders other members carry. */
const COUNT = 96;

const CARRIERS = ['m1', 'm2', 'm3', 'm4', 'm5', 'm6'].map(address => ({
  address,
  dataCentre: 'a',
}));

/** Messages in a thousand whose packet is lost, in each direction. */
const LOST_PER_MILLE = 13;

/** Time in ms until a lost packet is sent again; all later ones wait for it. */
const RETRANSMISSION_MS = 220;

/** Most orders of a disturbed span for each one of an undisturbed span. */
const MAX_AMPLIFICATION = 2;

const SEED = 1;

const JOBS = 300;
const JOB_EVERY_MS = 5;

/** Orders that the leader gives itself. */
class DirectPort extends UpstreamPort {
  orders = 0;

  constructor(private readonly port: FakePort) {
    super();
  }

  override start(to: UpstreamTarget, order: StartOrder): Promise<StartAnswer> {
    this.orders++;
    return this.port.start(to, order);
  }

  override stop(to: UpstreamTarget, order: StopOrder): Promise<StopAnswer> {
    this.orders++;
    return this.port.stop(to, order);
  }

  override hold(to: UpstreamTarget, order: HoldOrder): Promise<HoldAnswer> {
    this.orders++;
    return this.port.hold(to, order);
  }

  override releaseUpstream(): void {
    // Nothing is kept per upstream.
  }
}

/** Connections to members, each of which keeps its messages in order. */
class Connections {
  loses = false;
  readonly cut = new Set<string>();
  direct: DirectPort | null = null;
  private readonly freeAt = new Map<string, number>();
  private readonly rng = prand.xoroshiro128plus(SEED);
  private relayed: RelayedPort | null = null;

  relay(port: FakePort): UpstreamPort {
    this.direct = new DirectPort(port);
    this.relayed = new RelayedPort({
      direct: this.direct,
      carriers: () => CARRIERS,
      upstreams: () => 0,
      send: (carrier, message) => this.send(port, carrier, message),
      logger: createLogger('silent'),
    });
    return this.relayed;
  }

  private send(
    port: FakePort,
    carrier: string,
    message: OrderMessage | OrdersEndMessage,
  ): boolean {
    if (message.type !== 'order') return true;
    this.after(`to ${carrier}`, carrier, () => {
      void carryOrder(port, message).then(({id, outcome}) =>
        this.after(`from ${carrier}`, carrier, () =>
          this.relayed?.outcome(carrier, id, outcome),
        ),
      );
    });
    return true;
  }

  private after(connection: string, carrier: string, run: () => void): void {
    if (this.cut.has(carrier)) return;
    const now = performance.now();
    const freeAt = this.freeAt.get(connection) ?? 0;
    const isLost =
      this.loses && freeAt <= now && this.below(1_000) < LOST_PER_MILLE;
    const at = Math.max(now + 1 + (isLost ? RETRANSMISSION_MS : 0), freeAt);
    this.freeAt.set(connection, at);
    setTimeout(run, at - now);
  }

  private below(limit: number): number {
    return prand.unsafeUniformIntDistribution(0, limit - 1, this.rng);
  }
}

describe('Owner with members that carry orders late', () => {
  let harness: OwnerHarness;
  let connections: Connections;
  let orders: number;

  beforeEach(async () => {
    connections = new Connections();
    harness = new OwnerHarness(COUNT, {
      wrapPort: port => connections.relay(port),
    });
    orders = 0;
    for (const each of harness.upstreams) {
      each.delivery = () => {
        orders++;
        return 'delivered';
      };
    }
    await harness.setUp();
    await load('warm');
  });

  afterEach(async () => {
    expect(findOverlappingRuns(harness.spans)).to.deep.equal([]);
    await harness.close();
  });

  /** Submits jobs of four tasks; returns the orders that they took. */
  async function load(name: string): Promise<number> {
    const before = orders;
    const replies: Promise<unknown>[] = [];
    for (let i = 0; i < JOBS; i++) {
      replies.push(harness.submit(`${name}${i}`, [step(4)]));
      await harness.advanceClock(JOB_EVERY_MS);
    }
    await harness.waitFor(Promise.all(replies));
    return orders - before;
  }

  function runsOf(name: string): number {
    return harness.spans.filter(({task}) => task.startsWith(name)).length;
  }

  it('gives no avalanche of orders while connections lose packets', async () => {
    const usual = await load('usual');
    connections.loses = true;
    const disturbed = await load('slow');
    expect(disturbed).to.be.at.most(usual * MAX_AMPLIFICATION);
  });

  // The leader can't give the orders of a large pool beside its other work.
  it('leaves the orders to members while their connections lose packets', async () => {
    const before = connections.direct?.orders;
    connections.loses = true;
    await load('slow');
    expect(connections.direct?.orders).to.equal(before);
  });

  it('starts no task a second time because its answer was late', async () => {
    connections.loses = true;
    await load('slow');
    expect(runsOf('slow')).to.equal(JOBS * 4);
  });

  it('keeps the runs on the upstreams of a member that is cut', async () => {
    for (const each of harness.upstreams) each.runMs = 900;
    const replies = Array.from({length: 24}, (_, i) =>
      harness.submit(`long${i}`, [step(4, {declaredMs: 900})]),
    );
    await harness.advanceClock(300);
    connections.cut.add('m1');
    await harness.waitFor(Promise.all(replies));
    expect(runsOf('long')).to.equal(24 * 4);
  });
});
