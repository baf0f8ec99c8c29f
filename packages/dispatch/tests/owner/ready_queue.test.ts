import {expect} from 'chai';

import {JobTable} from '../../src/owner/job_table.js';
import type {OpenTask} from '../../src/owner/job_table_types.js';
import {
  type LatenessBand,
  type OfferResult,
  ReadyQueue,
} from '../../src/owner/ready_queue.js';
import {QUEUE, step} from '../owner_harness.js';

interface TaskOptions {
  readonly priority?: number;
  readonly since?: number;
  readonly started?: boolean;
  readonly tasks?: number;
  readonly waitsUntil?: number;
}

function tasksOf(id: string, options: TaskOptions = {}): readonly OpenTask[] {
  const {priority = 0, since = 0, started = false, tasks = 1} = options;
  const {waitsUntil = Infinity} = options;
  const job = new JobTable().admit(
    {
      id,
      payload: '',
      steps: [step(tasks, {declaredMs: 100})],
      durable: false,
      queue: 'q',
      pool: 'pool',
      maxAttempts: 2,
      admittedAt: 0,
      term: 1,
    },
    // The objective is 2 * 100 + 60 ms.
    {...QUEUE, priority},
    {receivedAt: since, isNew: true, deadlineAt: waitsUntil},
    () => undefined,
  );
  job.started = started;
  const created = job.tasks.flat();
  // They wait in the board's own queue, not yet in that of the test.
  for (const task of created) task.queuedBand = null;
  return created;
}

function offered(
  queue: ReadyQueue,
  now: number,
  result: (task: OpenTask) => OfferResult = () => 'placed',
  drops = false,
  servesLate = true,
): string[] {
  const seen: string[] = [];
  queue.offerAll({
    now,
    fastestTimeFactor: 1,
    mayStart: () => true,
    offer: (task: OpenTask, band: LatenessBand) => {
      seen.push(`${task.id.job} ${band}`);
      return result(task);
    },
    dropJob: (task: OpenTask) => {
      if (!drops) return false;
      seen.push(`${task.id.job} dropped`);
      return true;
    },
    canServeLate: () => servesLate,
  });
  return seen;
}

describe('ReadyQueue', () => {
  let queue: ReadyQueue;

  beforeEach(() => {
    queue = new ReadyQueue();
  });

  function add(id: string, options?: TaskOptions): void {
    for (const task of tasksOf(id, options)) queue.add(task);
  }

  it('offers by priority, then by age', () => {
    add('b', {priority: 1});
    add('a', {priority: 0, since: 5});
    add('c', {priority: 1, since: 9});
    expect(offered(queue, 10)).to.deep.equal([
      'a in-time',
      'b in-time',
      'c in-time',
    ]);
  });

  it('lets jobs that can meet their objective go before late ones', () => {
    add('late', {since: 0});
    add('fresh', {since: 190, priority: 2});
    expect(offered(queue, 200)).to.deep.equal(['fresh in-time', 'late late']);
  });

  it('keeps the place of a job that has begun and can be in time', () => {
    add('begun', {since: 0, started: true});
    add('fresh', {since: 90});
    expect(offered(queue, 100)).to.deep.equal([
      'begun in-time',
      'fresh in-time',
    ]);
  });

  // Late jobs took the room of new ones for ever, once one task had started.
  it('lets a late job that has begun go after those in time, but before others', () => {
    add('late', {since: 0});
    add('begun', {since: 0, started: true});
    add('fresh', {since: 190, priority: 2});
    expect(offered(queue, 200)).to.deep.equal([
      'fresh in-time',
      'begun begun',
      'late late',
    ]);
  });

  it('keeps the place of a late job of which little is left to start', () => {
    const tasks = tasksOf('begun', {since: 0, started: true, tasks: 6});
    for (const task of tasks.slice(1)) task.phase = 'active';
    for (const task of tasks) queue.add(task);
    add('fresh', {since: 190});
    expect(offered(queue, 200)).to.deep.equal([
      'begun in-time',
      'fresh in-time',
    ]);
  });

  // Such work took room from jobs that could be in time.
  it('drops what cannot end before its caller stops waiting, begun or not', () => {
    add('begun', {waitsUntil: 240, started: true});
    add('late', {waitsUntil: 240});
    add('fresh', {since: 190, waitsUntil: 1_690});
    expect(offered(queue, 200, () => 'placed', true)).to.deep.equal([
      'begun dropped',
      'late dropped',
      'fresh in-time',
    ]);
    expect(queue.size).to.equal(0);
  });

  // Such jobs were held until they were worth nothing, and refused then.
  it('drops jobs that become late while no late work is served', () => {
    add('late', {since: 0});
    add('begun', {since: 0, started: true});
    const pass = (now: number) =>
      offered(queue, now, () => 'full', true, false);
    expect(pass(200)).to.deep.equal(['begun begun']);
    expect(pass(201)).to.deep.equal(['late dropped', 'begun begun']);
  });

  it('sums up the work that waits, by band and priority', () => {
    const work = 100 * 1_000;
    add('a', {tasks: 2});
    add('b', {priority: 1});
    expect(queue.workInTime(0)).to.equal(2 * work);
    expect(queue.workInTime(1)).to.equal(3 * work);
    offered(queue, 200, () => 'full');
    expect(queue.workInTime(1)).to.equal(0);
    expect(queue.workLate).to.equal(3 * work);
    offered(queue, 200);
    expect(queue.workLate).to.equal(0);
  });

  // Such work seemed to wait for ever, and later jobs were refused for it.
  it('counts the work of a task once that is queued again before it was passed', () => {
    const [task] = tasksOf('a');
    if (!task) throw new Error('no task');
    queue.add(task);
    queue.add(task);
    expect(queue.workInTime(0)).to.equal(100 * 1_000);
    offered(queue, 1, each => {
      each.phase = 'active';
      return 'placed';
    });
    expect(queue.workInTime(0)).to.equal(0);
  });

  it('drops late jobs in time when no upstream has room', () => {
    add('late', {since: 0});
    add('begun', {since: 0, started: true, waitsUntil: 900});
    offered(queue, 200, () => 'full', true);
    add('fresh', {since: 1_040});
    expect(offered(queue, 1_041, () => 'full', true)).to.deep.equal([
      'begun dropped',
      'late dropped',
      'fresh in-time',
    ]);
  });

  it('tells jobs that are worth nothing any more from late ones', () => {
    add('old', {since: 0});
    expect(offered(queue, 1_041)).to.deep.equal(['old worthless']);
  });

  it('offers a task again that was passed over, and forgets a placed one', () => {
    add('a');
    add('b');
    const results = (task: OpenTask) =>
      task.id.job === 'a' ? 'passed-over' : 'placed';
    expect(offered(queue, 1, results)).to.have.length(2);
    expect(offered(queue, 2, results)).to.deep.equal(['a in-time']);
    expect(queue.size).to.equal(1);
  });

  it('stops at the first task when no upstream has room', () => {
    add('a', {tasks: 5});
    expect(offered(queue, 1, () => 'full')).to.have.length(1);
    expect(queue.size).to.equal(5);
  });

  it('bounds the tasks that it passes over in one pass', () => {
    add('a', {tasks: 1_000});
    const seen = offered(queue, 1, () => 'passed-over');
    expect(seen).to.have.length.below(100);
    expect(queue.size).to.equal(1_000);
  });

  it('skips tasks that are no longer ready', () => {
    const [task] = tasksOf('a');
    if (task) {
      queue.add(task);
      task.phase = 'ended';
    }
    expect(offered(queue, 1)).to.deep.equal([]);
    expect(queue.size).to.equal(0);
  });
});
