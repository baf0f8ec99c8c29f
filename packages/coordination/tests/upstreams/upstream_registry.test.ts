import type {UpstreamAnnouncement} from '@mustardferry/model';
import {NO_RESOURCES} from '@mustardferry/model';
import {expect} from 'chai';

import type {UpstreamPeerMessage} from '../../src/upstreams/upstream_messages.js';
import {UpstreamRegistry} from '../../src/upstreams/upstream_registry.js';

function createAnnouncement(
  incarnation: number,
  address = 'w1',
): UpstreamAnnouncement {
  return {
    worker: address,
    address,
    incarnation,
    dataCentre: 'a',
    rack: 'r1',
    capacity: {...NO_RESOURCES, slots: 8},
    maxConnections: 60,
    kinds: ['posting'],
  };
}

function createRegistry(instance: string, session = 1) {
  const registry = new UpstreamRegistry({
    instance,
    session,
    maxUpstreams: 3,
    maxTombstones: 5,
  });
  const events: string[] = [];
  registry.subscribe(({type, announcement}) =>
    events.push(`${type} ${announcement.address}#${announcement.incarnation}`),
  );
  return Object.assign(registry, {events});
}

type TestRegistry = ReturnType<typeof createRegistry>;

/** Delivers the sender's messages and answers requests for its full state. */
function synchronize(from: TestRegistry, to: TestRegistry, now: number): void {
  for (const message of from.summary(now)) {
    if (to.receiveMessage(message, now).next === 'request-full') {
      to.receiveMessage(from.full(), now);
    }
  }
}

/** Creates registry `a`, which holds w1 from time 0 on, and its peer `b`. */
function createPair() {
  const a = createRegistry('a');
  const b = createRegistry('b');
  a.announce(createAnnouncement(1), 0);
  synchronize(a, b, 0);
  return {a, b};
}

function takeSummary(a: TestRegistry, now: number): UpstreamPeerMessage[] {
  return [...a.summary(now)];
}

type Step = (a: TestRegistry, b: TestRegistry) => void;

/** The failure, steps after `createPair()`, and the events that `b` emits. */
const CASES: readonly [string, Step, readonly string[]][] = [
  ['a first announcement that stays unknown to peers', () => {}, []],
  [
    'a dead worker that keeps getting tasks',
    (a, b) => {
      for (const now of [1_000, 2_000, 2_500]) synchronize(a, b, now);
      b.expire(2_500);
    },
    ['expired w1#1'],
  ],
  [
    'a renewed worker that expires',
    (a, b) => {
      for (const now of [1_000, 2_000, 3_000]) {
        a.announce(createAnnouncement(1), now);
        synchronize(a, b, now);
        b.expire(now);
      }
    },
    [],
  ],
  [
    'the workers of a silent holder that keep getting tasks',
    (_a, b) => {
      b.expire(2_499);
      expect(b.size).to.equal(1);
      b.expire(2_500);
    },
    ['expired w1#1'],
  ],
  [
    'a worker that stays expired after its silent holder returns',
    (a, b) => {
      b.expire(3_000);
      a.announce(createAnnouncement(1), 3_000);
      synchronize(a, b, 3_001);
    },
    ['expired w1#1', 'available w1#1'],
  ],
  [
    'a duplicate heartbeat that keeps a dead worker',
    (a, b) => {
      const [summary] = takeSummary(a, 1_000);
      if (summary === undefined) throw new Error('no summary');
      for (const now of [1_000, 2_000, 3_000]) b.receiveMessage(summary, now);
      b.expire(3_500);
    },
    ['expired w1#1'],
  ],
  [
    'an old incarnation from being accepted after expiry',
    (_a, b) => {
      b.expire(5_000);
      expect(b.announce(createAnnouncement(0), 5_000)).to.deep.include({
        accepted: false,
      });
      const c = createRegistry('c');
      c.announce(createAnnouncement(0), 5_000);
      synchronize(c, b, 5_000);
    },
    ['expired w1#1'],
  ],
  [
    'a restarted worker known by its old incarnation',
    (_a, b) => void b.announce(createAnnouncement(2), 10),
    ['expired w1#1', 'available w1#2'],
  ],
  [
    'an old incarnation reported by a peer that missed the restart',
    (a, b) => {
      b.announce(createAnnouncement(2), 10);
      b.receiveMessage(a.full(), 11);
    },
    ['expired w1#1', 'available w1#2'],
  ],
  [
    'new tasks for a leaving worker',
    (a, b) => {
      a.leave({address: 'w1', incarnation: 1});
      a.announce(createAnnouncement(1), 500);
      synchronize(a, b, 500);
      synchronize(a, b, 600);
    },
    ['leaving w1#1'],
  ],
  [
    'a worker that left from being accepted again after expiry',
    (a, b) => {
      a.leave({address: 'w1', incarnation: 1});
      synchronize(a, b, 1);
      b.expire(4_000);
      expect(b.announce(createAnnouncement(1), 4_000)).to.deep.include({
        reason: 'left',
      });
    },
    ['leaving w1#1', 'expired w1#1'],
  ],
  [
    'a lost leave message',
    (a, b) => {
      a.leave({address: 'w1', incarnation: 1});
      a.takeChanges();
      synchronize(a, b, 1);
    },
    ['leaving w1#1'],
  ],
  [
    'reordered changes that overwrite newer ones',
    (a, b) => {
      a.announce(createAnnouncement(1, 'w2'), 1);
      const first = takeSummary(a, 1);
      a.leave({address: 'w2', incarnation: 1});
      const second = takeSummary(a, 2);
      for (const message of [...second, ...first, ...second]) {
        b.receiveMessage(message, 3);
      }
      synchronize(a, b, 4);
    },
    ['available w2#1', 'leaving w2#1'],
  ],
  [
    'a worker that expires while it changes its holder',
    (a, b) => {
      const c = createRegistry('c');
      c.announce(createAnnouncement(1), 2_000);
      synchronize(c, b, 2_000);
      synchronize(a, b, 2_600);
      b.expire(2_600);
      expect(b.get('w1')?.holder).to.equal('c');
    },
    [],
  ],
  [
    'the workers of a restarted holder that expire at once',
    (_a, b) => {
      synchronize(createRegistry('a', 2), b, 100);
      b.expire(2_499);
      expect(b.size).to.equal(1);
      b.expire(2_500);
    },
    ['expired w1#1'],
  ],
  [
    'messages of an earlier session from restoring its claims',
    (a, b) => {
      synchronize(createRegistry('a', 2), b, 100);
      b.expire(2_500);
      b.receiveMessage(a.full(), 2_600);
    },
    ['expired w1#1'],
  ],
  [
    'more upstreams than the maximum',
    (_a, b) => {
      for (const name of ['w2', 'w3', 'w4'])
        b.announce(createAnnouncement(1, name), 1);
      expect(b.size).to.equal(3);
    },
    ['available w2#1', 'available w3#1'],
  ],
  [
    'an old incarnation from replacing a later one whose tombstone was dropped',
    (_a, b) => {
      for (let i = 0; i < 9; i++) b.leave({address: `x${i}`, incarnation: 1});
      expect(b.announce(createAnnouncement(0), 1).accepted).to.equal(false);
    },
    [],
  ],
];

describe('UpstreamRegistry', () => {
  for (const [failure, steps, events] of CASES) {
    it(`prevents ${failure}`, () => {
      const {a, b} = createPair();
      steps(a, b);
      expect(b.events).to.deep.equal(['available w1#1', ...events]);
    });
  }

  it('keeps the latest observation when a delayed usage report arrives', () => {
    const {a, b} = createPair();
    const id = {address: 'w1', incarnation: 1, used: NO_RESOURCES};
    expect(a.reportUsage({...id, runningTasks: 5, lagMs: 100}, 1_000)).to.equal(
      true,
    );
    expect(a.reportUsage({...id, runningTasks: 9, lagMs: 500}, 1_100)).to.equal(
      false,
    );
    const message = a.takeUsage(1_200);
    if (message === undefined) throw new Error('no usage message');
    b.receiveMessage(message, 1_250);
    expect(b.get('w1')?.usage).to.deep.include({observedAtMs: 950});
    expect(b.get('w1')?.usage?.report.runningTasks).to.equal(5);
  });
});
