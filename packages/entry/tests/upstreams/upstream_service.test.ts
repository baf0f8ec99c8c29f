import type {UpstreamPeerMessage} from '@mustardferry/coordination';
import type {PeerClient} from '@mustardferry/links';
import {upstreamKey} from '@mustardferry/model';
import {NullMetrics} from '@mustardferry/runtime';
import {type Clock, install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import type {UpstreamMonitor} from '../../src/dispatch/upstream_monitor.js';
import type {PeerNetwork} from '../../src/peers/peer_network.js';
import type {SlotService} from '../../src/slots/slot_service.js';
import {UpstreamPool} from '../../src/upstreams/upstream_pool.js';
import {UpstreamService} from '../../src/upstreams/upstream_service.js';
import {LOGGER, settings, upstream} from '../fixtures.js';

const UPSTREAM = upstream();
const KEY = upstreamKey(UPSTREAM);
const USED = {slots: 1, processors: 0, memoryMb: 0, accelerators: 0};

/** A service with its pool, connected to the other nodes of the test. */
class Node {
  readonly pool = new UpstreamPool({
    token: undefined,
    dataCentre: 'dc1',
    instancesInDataCentre: 3,
  });
  readonly monitored = new Set<string>();
  readonly credited = new Set<string>();
  readonly service: UpstreamService;

  constructor(
    readonly name: string,
    nodes: ReadonlyMap<string, Node>,
    private readonly sent: string[] = [],
  ) {
    const network = {
      isUp: (peer: string) => nodes.has(peer),
      call: (
        peer: string,
        _ms: number,
        run: (client: PeerClient) => unknown,
      ) => {
        this.sent.push(peer);
        const mutate = async (message: UpstreamPeerMessage) =>
          nodes.get(peer)?.service.receiveMessage(message);
        return run({upstreamMessage: {mutate}} as unknown as PeerClient);
      },
    };
    const monitor = {
      add: (key: string) => this.monitored.add(key),
      remove: (key: string) => this.monitored.delete(key),
    };
    const slots = {
      addWorker: () => this.credited.add(KEY),
      removeWorker: (key: string) => this.credited.delete(key),
      getHeldCredits: () => 0,
    };
    this.service = new UpstreamService({
      settings: settings({name}),
      network: network as unknown as PeerNetwork,
      pool: this.pool,
      slots: slots as unknown as SlotService,
      monitor: monitor as unknown as UpstreamMonitor,
      onUpstreamAvailable: () => undefined,
      logger: LOGGER,
      metrics: new NullMetrics(),
    });
  }

  get usable(): boolean {
    return this.pool.candidates.get(KEY)?.available === true;
  }
}

describe('UpstreamService', () => {
  let clock: Clock;
  let nodes: Map<string, Node>;
  let sent: string[];
  beforeEach(() => {
    clock = install({now: 0});
    nodes = new Map();
    sent = [];
    for (const name of ['e1', 'e2'])
      nodes.set(name, new Node(name, nodes, sent));
  });
  afterEach(() => {
    for (const {service} of nodes.values()) service.close();
    clock.uninstall();
  });
  const node = (name: string): Node => nodes.get(name) ?? new Node(name, nodes);
  const renewFor = async (ms: number): Promise<void> => {
    for (let at = 0; at < ms; at += 1_000) {
      node('e1').service.announce(UPSTREAM);
      await clock.tickAsync(1_000);
    }
  };

  it('informs all instances of its data centre, and no others, within 100 ms', async () => {
    node('e1').service.announce(UPSTREAM);
    await clock.tickAsync(100);
    for (const name of ['e1', 'e2']) {
      expect(node(name).usable).to.equal(true);
      expect(node(name).monitored.has(KEY)).to.equal(true);
      expect(node(name).credited.has(KEY)).to.equal(true);
    }
    expect(sent).not.to.include('f1');
  });

  const endings = [
    {
      name: 'leaves',
      end: () => node('e2').service.leave(UPSTREAM),
      withinMs: 100,
    },
    {name: 'stops renewing', end: () => undefined, withinMs: 3_200},
  ];
  for (const {name, end, withinMs} of endings) {
    it(`stops new work on all instances when an upstream ${name}`, async () => {
      await renewFor(2_000);
      for (const {pool} of nodes.values()) {
        pool.candidates.started(KEY, 't', USED);
      }
      end();
      await clock.tickAsync(withinMs);
      for (const {pool, usable, credited} of nodes.values()) {
        expect(usable).to.equal(false);
        expect(credited.has(KEY)).to.equal(false);
        expect(pool.announcement(KEY), 'task still runs').to.equal(UPSTREAM);
      }
    });
  }

  it('discards the health of an upstream that has left', async () => {
    await renewFor(2_000);
    node('e1').service.leave(UPSTREAM);
    await clock.tickAsync(60_000);
    for (const {monitored, pool} of nodes.values()) {
      expect(monitored.has(KEY)).to.equal(false);
      expect(pool.announcement(KEY)).to.equal(undefined);
    }
  });

  it('keeps an upstream that renews and rejects renewals after it left', async () => {
    await renewFor(20_000);
    for (const {usable} of nodes.values()) expect(usable).to.equal(true);
    node('e2').service.leave(UPSTREAM);
    await renewFor(2_000);
    for (const {usable} of nodes.values()) expect(usable).to.equal(false);
    const next = upstream({incarnation: 2});
    node('e1').service.announce(next);
    await clock.tickAsync(100);
    const {pool} = node('e2');
    expect(pool.candidates.get(upstreamKey(next))?.available).to.equal(true);
  });

  it('sends all upstreams to an instance that joins late', async () => {
    await renewFor(2_000);
    nodes.set('e3', new Node('e3', nodes, sent));
    node('e1').service.sendFullState('e3');
    await clock.tickAsync(100);
    expect(node('e3').usable).to.equal(true);
    sent.length = 0;
    node('e1').service.sendFullState('f1');
    expect(sent).to.have.length(0);
  });

  it('makes an expired upstream available again when it renews', async () => {
    await renewFor(1_000);
    for (const {pool} of nodes.values()) {
      pool.candidates.started(KEY, 't', USED);
    }
    await clock.tickAsync(10_000);
    expect(node('e1').usable).to.equal(false);
    await renewFor(1_000);
    for (const {usable} of nodes.values()) expect(usable).to.equal(true);
  });

  it('rejects an upstream of another data centre', () => {
    const far = upstream({dataCentre: 'dc2'});
    expect(() => node('e1').service.announce(far)).to.throw('dataCentre');
    expect(node('e1').service.listViews()).to.have.length(0);
  });

  it('does not report an upstream of an evacuated data centre as ejected', async () => {
    await renewFor(1_000);
    const {pool, service} = node('e1');
    pool.setEvacuated(['dc1']);
    expect(service.listViews()[0]).to.include({state: 'evacuated'});
    pool.setEvacuated([]);
    expect(service.listViews()[0]).to.include({state: 'available'});
  });

  it('reports an ejected upstream as ejected', async () => {
    await renewFor(1_000);
    const {pool, service} = node('e1');
    expect(service.listViews()[0]).to.include({
      state: 'available',
      holder: 'e1',
    });
    pool.setAllowance(KEY, 0);
    expect(service.listViews()[0]).to.include({state: 'ejected'});
  });
});
