import {fitsInto} from '@mustardferry/model';
import {expect} from 'chai';
import fc from 'fast-check';

import type {QueuedTask} from '../../src/sharing/sharing_policy.js';
import {AGING_STARTS} from '../../src/sharing/team_queue.js';
import {WeightedFairSharing} from '../../src/sharing/weighted_fair_sharing.js';
import {createPolicy, createQueuedTask, createResources} from '../fixtures.js';

type Shares = Parameters<typeof createPolicy>[0];

function createSharing(teams: Shares, slots = 100): WeightedFairSharing {
  const result = new WeightedFairSharing();
  result.setCapacity(createResources(slots));
  result.setPolicy(createPolicy(teams));
  return result;
}

/** Simulates tasks of 100 ms on `slots` slots and counts starts by team. */
function countStarts(
  queue: WeightedFairSharing,
  slots: number,
  from: number,
  to: number,
  teams: (now: number) => readonly string[],
  ongoing: {id: string; at: number}[] = [],
): Record<string, number> {
  const starts: Record<string, number> = {};
  for (let now = from; now < to; now += 10) {
    for (const each of ongoing.filter(({at}) => at <= now))
      queue.release(each.id, now);
    ongoing.splice(0, ongoing.length, ...ongoing.filter(({at}) => at > now));
    for (const team of teams(now)) {
      for (let n = queue.getBacklog(team, 'k').tasks; n < slots; n++) {
        queue.enqueue(
          createQueuedTask({taskId: `${team}${now}-${n}`, team}),
          now,
        );
      }
    }
    while (ongoing.length < slots) {
      const task = queue.next(now)?.task;
      if (!task) break;
      queue.charge(task, now);
      ongoing.push({id: task.taskId, at: now + 100});
      starts[task.team] = (starts[task.team] ?? 0) + 1;
    }
  }
  return starts;
}

describe('WeightedFairSharing', () => {
  it('keeps starts within 5% of the shares under steady demand', () => {
    const queue = createSharing(
      {a: {share: 60}, b: {share: 30}, c: {share: 10}},
      20,
    );
    const starts = countStarts(queue, 20, 0, 10_000, () => ['a', 'b', 'c']);
    const total = 20 * 100;
    for (const [team, part] of [
      ['a', 0.6],
      ['b', 0.3],
      ['c', 0.1],
    ] as const) {
      expect((starts[team] ?? 0) / total).to.be.within(
        part * 0.95,
        part * 1.05,
      );
    }
  });

  it('lends an idle share and returns it to its team within 1 s', () => {
    const queue = createSharing({a: {share: 50}, b: {share: 50}}, 20);
    const ongoing: {id: string; at: number}[] = [];
    const alone = countStarts(queue, 20, 0, 5_000, () => ['a'], ongoing);
    expect(alone['a']).to.equal(20 * 50);
    countStarts(queue, 20, 5_000, 6_000, () => ['a', 'b'], ongoing);
    const running = queue.usage().find(({team}) => team === 'b')?.running.slots;
    expect(running).to.be.within(9, 11);
  });

  it('gives a team no more than its share after a long idle time', () => {
    const queue = createSharing({a: {share: 50}, b: {share: 50}}, 20);
    const ongoing: {id: string; at: number}[] = [];
    countStarts(queue, 20, 0, 60_000, () => ['a'], ongoing);
    const starts = countStarts(
      queue,
      20,
      60_000,
      70_000,
      () => ['a', 'b'],
      ongoing,
    );
    expect((starts['b'] ?? 0) / (20 * 100)).to.be.within(0.475, 0.525);
  });

  it('starts every task of every team eventually, so none starves', () => {
    const team = fc.constantFrom('a', 'b', 'c');
    const urgency = fc.constantFrom(
      'urgent' as const,
      'normal' as const,
      'background' as const,
    );
    const tasks = fc.array(
      fc.record({team, urgency, targetAtMs: fc.nat(5_000)}),
      {maxLength: 80},
    );
    fc.assert(
      fc.property(tasks, list => {
        const queue = createSharing(
          {a: {share: 98}, b: {share: 1.9}, c: {share: 0.1}},
          4,
        );
        list.forEach((each, n) =>
          queue.enqueue(createQueuedTask({taskId: `${n}`, ...each}), 0),
        );
        const seen = new Set<string>();
        for (let now = 0; now < list.length; now++) {
          const task = queue.next(now)?.task;
          if (!task) break;
          seen.add(task.taskId);
          queue.charge(task, now);
          queue.release(task.taskId, now + 1);
        }
        expect(seen.size).to.equal(list.length);
        expect(queue.queuedTasks).to.equal(0);
      }),
      {seed: 2},
    );
  });

  it('starts tasks of a small team while a large one fills the queue', () => {
    const queue = createSharing({a: {share: 99}, b: {share: 1}}, 20);
    const starts = countStarts(queue, 20, 0, 10_000, () => ['a', 'b']);
    expect(starts['b']).to.be.within(10, 30);
  });

  it('starts a less urgent task during a steady urgent load', () => {
    const queue = createSharing({a: {share: 100}});
    queue.enqueue(createQueuedTask({taskId: 'slow', urgency: 'background'}), 0);
    let position = 0;
    for (; position < 100; position++) {
      queue.enqueue(
        createQueuedTask({taskId: `u${position}`, urgency: 'urgent'}),
        0,
      );
      const next = queue.next(0);
      if (next?.task.taskId !== 'slow') continue;
      expect(next.reason).to.equal('aged-task');
      break;
    }
    expect(position).to.equal(AGING_STARTS);
  });

  it('orders a team by urgency, then target time, so no later target goes first', () => {
    const queue = createSharing({a: {share: 100}});
    queue.enqueue(createQueuedTask({taskId: 'n', targetAtMs: 1}), 0);
    queue.enqueue(
      createQueuedTask({taskId: 'u2', urgency: 'urgent', targetAtMs: 20}),
      0,
    );
    queue.enqueue(
      createQueuedTask({
        taskId: 'u1',
        urgency: 'urgent',
        kind: 'x',
        targetAtMs: 10,
      }),
      0,
    );
    const order = [0, 1, 2].map(() => queue.next(0)?.task.taskId);
    expect(order).to.deep.equal(['u1', 'u2', 'n']);
  });

  it('skips tasks that the filter rejects, so they block no other team', () => {
    const queue = createSharing({a: {share: 90}, b: {share: 10}});
    queue.enqueue(createQueuedTask({taskId: '1', kind: 'rare'}), 0);
    queue.enqueue(createQueuedTask({taskId: '2', team: 'b'}), 0);
    const next = queue.next(0, ({kind}) => kind !== 'rare');
    expect(next?.task.taskId).to.equal('2');
    expect(queue.next(0)?.task.taskId).to.equal('1');
  });

  it('starts a task larger than the quota once the quota admits it', () => {
    const queue = createSharing({a: {share: 50, quota: createResources(2)}});
    queue.enqueue(
      createQueuedTask({taskId: 'large', resources: createResources(3)}),
      0,
    );
    queue.enqueue(createQueuedTask({taskId: 'small'}), 0);
    expect(queue.next(0)?.task.taskId).to.equal('small');
    expect(queue.next(0)).to.equal(undefined);
    queue.setPolicy(createPolicy({a: {share: 50, quota: createResources(3)}}));
    expect(queue.next(0)?.task.taskId).to.equal('large');
  });

  it("uses the allocator's slots as weights where it assigned some", () => {
    const queue = createSharing({a: {share: 50}, b: {share: 50}}, 20);
    queue.setEntitlements([
      {team: 'a', slots: 5},
      {team: 'b', slots: 15},
    ]);
    const starts = countStarts(queue, 20, 0, 10_000, () => ['a', 'b']);
    expect((starts['b'] ?? 0) / (20 * 100)).to.be.within(0.7125, 0.7875);
  });

  it('estimates no wait on an idle instance and infinity without slots', () => {
    const queue = createSharing({a: {share: 50}});
    expect(queue.estimateWaitMs('a', 'urgent')).to.equal(0);
    queue.setCapacity(createResources(0));
    expect(queue.estimateWaitMs('a', 'urgent')).to.equal(Infinity);
  });
});

type QueueOperation =
  | {op: 'enqueue'; team: string; job: number; slots: number}
  | {op: 'next'}
  | {op: 'release'}
  | {op: 'cancel'; job: number};

const job = fc.nat(15);
const queueOperation: fc.Arbitrary<QueueOperation> = fc.oneof(
  {
    arbitrary: fc.record({
      op: fc.constant('enqueue' as const),
      team: fc.constantFrom('a', 'b'),
      job,
      slots: fc.integer({min: 1, max: 4}),
    }),
    weight: 4,
  },
  {arbitrary: fc.constant({op: 'next' as const}), weight: 3},
  {arbitrary: fc.constant({op: 'release' as const}), weight: 2},
  {arbitrary: fc.record({op: fc.constant('cancel' as const), job}), weight: 1},
);

describe('WeightedFairSharing, any order of operations', () => {
  it('never exceeds a quota, returns a cancelled task or loses one', () => {
    const quotas = {a: createResources(5), b: createResources(3)};
    fc.assert(
      fc.property(fc.array(queueOperation, {maxLength: 150}), steps => {
        const queue = createSharing(
          {a: {share: 70, quota: quotas.a}, b: {share: 30, quota: quotas.b}},
          6,
        );
        const waiting = new Map<string, QueuedTask>();
        const running: QueuedTask[] = [];
        steps.forEach((each, now) => {
          if (each.op === 'enqueue') {
            const task = createQueuedTask({
              taskId: `${now}`,
              jobId: `${each.job}`,
              team: each.team,
              resources: createResources(each.slots),
            });
            queue.enqueue(task, now);
            waiting.set(task.taskId, task);
          } else if (each.op === 'next') {
            const task = queue.next(now)?.task;
            if (!task) return;
            expect(waiting.delete(task.taskId), 'returned twice or cancelled')
              .to.be.true;
            queue.charge(task, now);
            running.push(task);
          } else if (each.op === 'release') {
            const task = running.shift();
            if (task) queue.release(task.taskId, now);
          } else {
            for (const task of queue.cancel(`${each.job}`, now)) {
              expect(waiting.delete(task.taskId)).to.be.true;
            }
            expect(
              [...waiting.values()].some(({jobId}) => jobId === `${each.job}`),
            ).to.be.false;
          }
          for (const usage of queue.usage()) {
            expect(fitsInto(usage.running, quotas[usage.team as 'a' | 'b'])).to
              .be.true;
          }
          expect(queue.queuedTasks).to.equal(waiting.size);
        });
        // All remaining tasks can start once the running tasks have ongoing.
        for (const task of running) queue.release(task.taskId, 1_000);
        for (let now = 1_000; waiting.size > 0; now++) {
          const task = queue.next(now)?.task;
          if (!task) break;
          queue.charge(task, now);
          queue.release(task.taskId, now);
          waiting.delete(task.taskId);
        }
        expect(
          [...waiting.values()].filter(task =>
            fitsInto(task.resources, quotas[task.team as 'a' | 'b']),
          ),
        ).to.deep.equal([]);
      }),
      {seed: 3, numRuns: 300},
    );
  });
});
