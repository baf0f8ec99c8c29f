import type {UpstreamAnnouncement} from '@mustardferry/model';
import {NO_RESOURCES} from '@mustardferry/model';
import {expect} from 'chai';

import type {UpstreamPeerMessage} from '../../src/upstreams/upstream_messages.js';
import {UpstreamRegistry} from '../../src/upstreams/upstream_registry.js';

function life(incarnation: number, address = 'w1'): UpstreamAnnouncement {
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

function registry(instance: string, session = 1) {
  const made = new UpstreamRegistry({
    instance,
    session,
    maxUpstreams: 3,
    maxTombstones: 5,
  });
  const events: string[] = [];
  made.subscribe(({type, announcement}) =>
    events.push(`${type} ${announcement.address}#${announcement.incarnation}`),
  );
  return Object.assign(made, {events});
}

type TestRegistry = ReturnType<typeof registry>;

/** Delivers the sender's messages and answers requests for its full state. */
function sync(from: TestRegistry, to: TestRegistry, now: number): void {
  for (const message of from.summary(now)) {
    if (to.receiveMessage(message, now).next === 'request-full') {
      to.receiveMessage(from.full(), now);
    }
  }
}

/** Receivers `a` (holder of w1 at time 0) and `b`, which was told about it. */
function pair() {
  const a = registry('a');
  const b = registry('b');
  a.announce(life(1), 0);
  sync(a, b, 0);
  return {a, b};
}

function messagesOf(a: TestRegistry, now: number): UpstreamPeerMessage[] {
  return [...a.summary(now)];
}

type Step = (a: TestRegistry, b: TestRegistry) => void;

/** Name, steps after `pair()`, the events that `b` saw. */
const CASES: readonly [string, Step, readonly string[]][] = [
  ['a first announcement that stays unknown to peers', () => {}, []],
  [
    'a dead worker that keeps getting work',
    (a, b) => {
      for (const now of [1_000, 2_000, 2_500]) sync(a, b, now);
      b.expire(2_500);
    },
    ['expired w1#1'],
  ],
  [
    'a renewed worker that expires',
    (a, b) => {
      for (const now of [1_000, 2_000, 3_000]) {
        a.announce(life(1), now);
        sync(a, b, now);
        b.expire(now);
      }
    },
    [],
  ],
  [
    'the workers of a silent holder that keep getting work',
    (_a, b) => {
      b.expire(2_499);
      expect(b.size).to.equal(1);
      b.expire(2_500);
    },
    ['expired w1#1'],
  ],
  [
    'a worker lost for good after its holder was silent',
    (a, b) => {
      b.expire(3_000);
      a.announce(life(1), 3_000);
      sync(a, b, 3_001);
    },
    ['expired w1#1', 'available w1#1'],
  ],
  [
    'a duplicate sign of life that keeps a dead worker',
    (a, b) => {
      const [summary] = messagesOf(a, 1_000);
      if (summary === undefined) throw new Error('no summary');
      for (const now of [1_000, 2_000, 3_000]) b.receiveMessage(summary, now);
      b.expire(3_500);
    },
    ['expired w1#1'],
  ],
  [
    'an old incarnation that revives after expiry',
    (_a, b) => {
      b.expire(5_000);
      expect(b.announce(life(0), 5_000)).to.deep.include({accepted: false});
      const c = registry('c');
      c.announce(life(0), 5_000);
      sync(c, b, 5_000);
    },
    ['expired w1#1'],
  ],
  [
    'a restarted worker known by its old life',
    (_a, b) => void b.announce(life(2), 10),
    ['expired w1#1', 'available w1#2'],
  ],
  [
    'an old life reported again by a peer that missed the restart',
    (a, b) => {
      b.announce(life(2), 10);
      b.receiveMessage(a.full(), 11);
    },
    ['expired w1#1', 'available w1#2'],
  ],
  [
    'new work for a leaving worker',
    (a, b) => {
      a.leave({address: 'w1', incarnation: 1});
      a.announce(life(1), 500);
      sync(a, b, 500);
      sync(a, b, 600);
    },
    ['leaving w1#1'],
  ],
  [
    'a worker that left and revives after expiry',
    (a, b) => {
      a.leave({address: 'w1', incarnation: 1});
      sync(a, b, 1);
      b.expire(4_000);
      expect(b.announce(life(1), 4_000)).to.deep.include({reason: 'left'});
    },
    ['leaving w1#1', 'expired w1#1'],
  ],
  [
    'a lost leave message',
    (a, b) => {
      a.leave({address: 'w1', incarnation: 1});
      a.takeChanges();
      sync(a, b, 1);
    },
    ['leaving w1#1'],
  ],
  [
    'reordered changes that undo each other',
    (a, b) => {
      a.announce(life(1, 'w2'), 1);
      const first = messagesOf(a, 1);
      a.leave({address: 'w2', incarnation: 1});
      const second = messagesOf(a, 2);
      for (const message of [...second, ...first, ...second]) {
        b.receiveMessage(message, 3);
      }
      sync(a, b, 4);
    },
    ['available w2#1', 'leaving w2#1'],
  ],
  [
    'a worker that expires while it changes its holder',
    (a, b) => {
      const c = registry('c');
      c.announce(life(1), 2_000);
      sync(c, b, 2_000);
      sync(a, b, 2_600);
      b.expire(2_600);
      expect(b.get('w1')?.holder).to.equal('c');
    },
    [],
  ],
  [
    'the workers of a restarted holder that expire at once',
    (_a, b) => {
      sync(registry('a', 2), b, 100);
      b.expire(2_499);
      expect(b.size).to.equal(1);
      b.expire(2_500);
    },
    ['expired w1#1'],
  ],
  [
    'messages of an earlier session that revive its claims',
    (a, b) => {
      sync(registry('a', 2), b, 100);
      b.expire(2_500);
      b.receiveMessage(a.full(), 2_600);
    },
    ['expired w1#1'],
  ],
  [
    'growth beyond the maximum',
    (_a, b) => {
      for (const name of ['w2', 'w3', 'w4']) b.announce(life(1, name), 1);
      expect(b.size).to.equal(3);
    },
    ['available w2#1', 'available w3#1'],
  ],
  [
    'a live upstream replaced by an old life after many others',
    (_a, b) => {
      for (let i = 0; i < 9; i++) b.leave({address: `x${i}`, incarnation: 1});
      expect(b.announce(life(0), 1).accepted).to.equal(false);
    },
    [],
  ],
];

describe('UpstreamRegistry', () => {
  for (const [guarded, steps, events] of CASES) {
    it(`prevents ${guarded}`, () => {
      const {a, b} = pair();
      steps(a, b);
      expect(b.events).to.deep.equal(['available w1#1', ...events]);
    });
  }

  it('keeps the latest observation, so that a delayed report changes nothing', () => {
    const {a, b} = pair();
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
