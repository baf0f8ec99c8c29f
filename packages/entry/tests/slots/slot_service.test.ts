import type {PeerClient, SlotReply, SlotReport} from '@mustardferry/links';
import {upstreamKey} from '@mustardferry/model';
import {type Clock, install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';

import type {PeerNetwork} from '../../src/peers/peer_network.js';
import {
  SlotService,
  type SlotServiceOptions,
} from '../../src/slots/slot_service.js';
import {UpstreamPool} from '../../src/upstreams/upstream_pool.js';
import {LOGGER, POLICY, TEAM, upstream} from '../fixtures.js';

const SLOTS = 4;
const NAMES = ['e1', 'e2', 'e3'] as const;
const WORKERS = [1, 2].map(port => upstream({address: `127.0.0.1:${port}`}));
const KEYS = WORKERS.map(worker => upstreamKey(worker));
const LEASE_MS = 3_000;

/** How the network delivers one report and its reply. */
type Delivery =
  | 'delivered'
  | 'request-lost'
  | 'reply-lost'
  | 'repeated'
  | 'reply-late'
  | 'request-late';

type Step =
  | {readonly type: 'deliveries'; readonly deliveries: readonly Delivery[]}
  | {readonly type: 'demand'; readonly of: number; readonly slots: number}
  | {readonly type: 'allocator'; readonly name: number}
  | {readonly type: 'cut'; readonly of: number; readonly ms: number}
  | {readonly type: 'run'; readonly ms: number};

class Instance {
  demand = 0;
  cut = false;
  readonly service: SlotService;

  constructor(
    readonly name: string,
    cluster: Cluster,
  ) {
    const usage = () => {
      const slots = {processors: 0, memoryMb: 0, accelerators: 0, slots: 0};
      const queued = {...slots, slots: this.demand};
      return [{team: TEAM.team, running: slots, queued}];
    };
    const sharing = {
      usage,
      queuedTasks: 0,
      setCapacity: () => undefined,
      setEntitlements: () => undefined,
    };
    const network = {
      isUp: (peer: string) => !this.cut && !cluster.getInstance(peer).cut,
      call: <T>(
        to: string,
        timeoutMs: number,
        run: (client: PeerClient) => Promise<T>,
      ) => cluster.call(this, to, timeoutMs, run),
    };
    this.service = new SlotService({
      self: {name, incarnation: '1'},
      instances: NAMES,
      network: network as unknown as PeerNetwork,
      pool: new UpstreamPool({
        token: undefined,
        dataCentre: 'dc1',
        instancesInDataCentre: 3,
      }),
      sharing: sharing as unknown as SlotServiceOptions['sharing'],
      leaseMs: LEASE_MS,
      allocatorName: () => cluster.allocator,
      onCreditsGranted: () => undefined,
      logger: LOGGER,
    });
    this.service.setPolicy(POLICY);
    for (const worker of WORKERS) this.service.addWorker(worker);
  }
}

/** Instances that exchange reports over a faulty network. */
class Cluster {
  allocator: string = NAMES[0];
  deliveries: Delivery[] = [];
  readonly instances: readonly Instance[];

  constructor() {
    this.instances = NAMES.map(name => new Instance(name, this));
    this.getInstance(this.allocator).service.setAllocating(true);
  }

  getInstance(name: string): Instance {
    const found = this.instances.find(instance => instance.name === name);
    if (found === undefined) throw new Error(`no instance ${name}`);
    return found;
  }

  moveAllocator(name: string): void {
    this.getInstance(this.allocator).service.setAllocating(false);
    this.allocator = name;
    this.getInstance(name).service.setAllocating(true);
  }

  call<T>(
    from: Instance,
    to: string,
    timeoutMs: number,
    run: (client: PeerClient) => Promise<T>,
  ): Promise<T> {
    const target = this.getInstance(to);
    const delivery =
      from.cut || target.cut
        ? 'request-lost'
        : (this.deliveries.shift() ?? 'delivered');
    const handle = (report: SlotReport) => target.service.handleReport(report);
    const mutate = (report: SlotReport): Promise<SlotReply | undefined> =>
      new Promise(resolve => {
        const after = (ms: number, act: () => void): void =>
          void setTimeout(act, ms);
        if (delivery === 'request-lost') return;
        if (delivery === 'request-late') {
          after(timeoutMs + 200, () => handle(report));
          return;
        }
        if (delivery === 'repeated') handle(report);
        const reply = handle(report);
        if (delivery === 'reply-lost') return;
        after(delivery === 'reply-late' ? timeoutMs - 1 : 1, () =>
          resolve(reply),
        );
      });
    const client = {slotReport: {mutate}} as unknown as PeerClient;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => reject(new Error('timeout')), timeoutMs);
      void run(client).then(value => {
        clearTimeout(timer);
        resolve(value);
      });
    });
  }

  checkCredits(): void {
    for (const key of KEYS) {
      const held = this.instances.map(({service}) =>
        service.getHeldCredits(key),
      );
      const total = held.reduce((a, b) => a + b);
      expect(total, `credits of ${key}: ${held.join()}`).to.be.at.most(SLOTS);
    }
  }
}

async function runSteps(
  clock: Clock,
  steps: readonly Step[],
): Promise<Cluster> {
  const cluster = new Cluster();
  for (const step of steps) {
    if (step.type === 'deliveries') cluster.deliveries.push(...step.deliveries);
    else if (step.type === 'allocator') {
      cluster.moveAllocator(NAMES[step.name] ?? NAMES[0]);
    } else if (step.type !== 'run') {
      const instance = cluster.instances[step.of];
      if (instance === undefined) continue;
      if (step.type === 'demand') instance.demand = step.slots;
      else {
        instance.cut = true;
        setTimeout(() => (instance.cut = false), step.ms);
      }
    }
    const ms = step.type === 'run' ? step.ms : 60;
    for (let now = 0; now < ms; now += 50) {
      await clock.tickAsync(50);
      cluster.checkCredits();
    }
  }
  for (const {service} of cluster.instances) service.close();
  return cluster;
}

const instance = fc.nat(NAMES.length - 1);
const deliveriesOf = (...choices: readonly Delivery[]): fc.Arbitrary<Step> =>
  fc.record({
    type: fc.constant('deliveries' as const),
    deliveries: fc.array(fc.constantFrom(...choices), {maxLength: 6}),
  });
const common: readonly fc.Arbitrary<Step>[] = [
  fc.record({
    type: fc.constant('demand' as const),
    of: instance,
    slots: fc.nat(12),
  }),
  fc.record({
    type: fc.constant('run' as const),
    ms: fc.integer({min: 50, max: 1_500}),
  }),
];
const moves = fc.record({
  type: fc.constant('allocator' as const),
  name: instance,
});
const cuts = (ms: number): fc.Arbitrary<Step> =>
  fc.record({
    type: fc.constant('cut' as const),
    of: instance,
    ms: fc.constant(ms),
  });
const usual = deliveriesOf(
  'delivered',
  'request-lost',
  'reply-lost',
  'repeated',
  'reply-late',
);

describe('SlotService', () => {
  let clock: Clock;
  beforeEach(() => (clock = install({now: 0})));
  afterEach(() => clock.uninstall());

  const schedules = [
    {name: 'lost, repeated and late replies', steps: [usual], seed: 11},
    {name: 'a new allocator', steps: [usual, moves], seed: 12},
    {
      name: 'reports that arrive late',
      steps: [deliveriesOf('delivered', 'request-late')],
      seed: 13,
    },
    {
      name: 'an instance that is cut off for longer than its lease',
      steps: [cuts(10_000)],
      seed: 14,
    },
    {
      name: 'a new allocator that cannot reach a holder',
      steps: [cuts(1_000), moves],
      seed: 15,
    },
  ];
  for (const {name, steps, seed} of schedules) {
    it(`never has more credits than slots under ${name}`, async () => {
      const schedule = fc.array(fc.oneof(...common, ...steps), {maxLength: 25});
      await fc.assert(
        fc.asyncProperty(schedule, async list => {
          await runSteps(clock, list);
        }),
        {seed, numRuns: 60},
      );
    }).timeout(60_000);
  }

  it('leaves no slot unused after lost replies and moves credits to demand', async () => {
    const lost = Array<Delivery>(6).fill('reply-lost');
    const cluster = await runSteps(clock, [
      {type: 'demand', of: 1, slots: 12},
      {type: 'deliveries', deliveries: lost},
      {type: 'run', ms: 6_000},
    ]);
    const held = KEYS.map(key =>
      cluster.getInstance('e2').service.getHeldCredits(key),
    );
    expect(held).to.deep.equal([SLOTS, SLOTS]);
  });
});
