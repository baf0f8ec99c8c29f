import {expect} from 'chai';

import type {OpenTask} from '../../src/owner/job_table_types.js';
import {ReadyQueue} from '../../src/owner/ready_queue.js';
import {createTasks, offerAll, type TaskOptions} from './queue_fixture.js';

describe('ReadyQueue', () => {
  let queue: ReadyQueue;

  beforeEach(() => {
    queue = new ReadyQueue();
  });

  function add(id: string, options?: TaskOptions): void {
    for (const task of createTasks(id, options)) queue.add(task);
  }

  it('offers by priority, then by age', () => {
    add('b', {priority: 1});
    add('a', {priority: 0, receivedAt: 5});
    add('c', {priority: 1, receivedAt: 9});
    expect(offerAll(queue, 10)).to.deep.equal([
      'a in-time',
      'b in-time',
      'c in-time',
    ]);
  });

  it('offers jobs that can meet their objective before late ones', () => {
    add('late', {receivedAt: 0});
    add('fresh', {receivedAt: 190, priority: 2});
    expect(offerAll(queue, 200)).to.deep.equal(['fresh in-time', 'late late']);
  });

  it('keeps the place of a job that has begun and can be in time', () => {
    add('begun', {receivedAt: 0, started: true});
    add('fresh', {receivedAt: 90});
    expect(offerAll(queue, 100)).to.deep.equal([
      'begun in-time',
      'fresh in-time',
    ]);
  });

  // Guards against late jobs that keep taking capacity from new ones once one
  // of their tasks has started.
  it('offers a late job that has begun after those in time, but before other late ones', () => {
    add('late', {receivedAt: 0});
    add('begun', {receivedAt: 0, started: true});
    add('fresh', {receivedAt: 190, priority: 2});
    expect(offerAll(queue, 200)).to.deep.equal([
      'fresh in-time',
      'begun underway',
      'late late',
    ]);
  });

  it('keeps the place of a late job of which little is left to start', () => {
    const tasks = createTasks('begun', {
      receivedAt: 0,
      started: true,
      tasks: 6,
    });
    for (const task of tasks.slice(1)) task.phase = 'active';
    for (const task of tasks) queue.add(task);
    add('fresh', {receivedAt: 190});
    expect(offerAll(queue, 200)).to.deep.equal([
      'begun in-time',
      'fresh in-time',
    ]);
  });

  // Guards against work without a waiting caller that takes capacity from jobs
  // that could be in time.
  it('drops jobs that cannot end before their callers stop waiting, begun or not', () => {
    add('begun', {deadlineAt: 240, started: true});
    add('late', {deadlineAt: 240});
    add('fresh', {receivedAt: 190, deadlineAt: 1_690});
    expect(offerAll(queue, 200, () => 'placed', true)).to.deep.equal([
      'begun dropped',
      'late dropped',
      'fresh in-time',
    ]);
    expect(queue.size).to.equal(0);
  });

  // Guards against holding such jobs until their results are useless, and
  // refusing them only then.
  it('drops jobs that become late while no late work is served', () => {
    add('late', {receivedAt: 0});
    add('begun', {receivedAt: 0, started: true});
    const pass = (now: number) =>
      offerAll(queue, now, () => 'full', true, false);
    expect(pass(200)).to.deep.equal(['begun underway']);
    expect(pass(201)).to.deep.equal(['late dropped', 'begun underway']);
  });

  it('sums up the waiting work by band and priority', () => {
    const work = 100 * 1_000;
    add('a', {tasks: 2});
    add('b', {priority: 1});
    expect(queue.getWorkInTime(0)).to.equal(2 * work);
    expect(queue.getWorkInTime(1)).to.equal(3 * work);
    offerAll(queue, 200, () => 'full');
    expect(queue.getWorkInTime(1)).to.equal(0);
    expect(queue.workLate).to.equal(3 * work);
    offerAll(queue, 200);
    expect(queue.workLate).to.equal(0);
  });

  // Guards against work that counts as waiting for ever, because of which later
  // jobs would be refused.
  it('counts the work of a task once when it is requeued before a pass removed its entry', () => {
    const [task] = createTasks('a');
    if (!task) throw new Error('no task');
    queue.add(task);
    queue.add(task);
    expect(queue.getWorkInTime(0)).to.equal(100 * 1_000);
    offerAll(queue, 1, each => {
      each.phase = 'active';
      return 'placed';
    });
    expect(queue.getWorkInTime(0)).to.equal(0);
  });

  it('drops useless jobs while no upstream has free capacity', () => {
    add('late', {receivedAt: 0});
    add('begun', {receivedAt: 0, started: true, deadlineAt: 900});
    offerAll(queue, 200, () => 'full', true);
    add('fresh', {receivedAt: 1_040});
    expect(offerAll(queue, 1_041, () => 'full', true)).to.deep.equal([
      'begun dropped',
      'late dropped',
      'fresh in-time',
    ]);
  });

  it('distinguishes useless jobs from late ones', () => {
    add('old', {receivedAt: 0});
    expect(offerAll(queue, 1_041)).to.deep.equal(['old useless']);
  });

  it('offers a skipped task again, and removes a placed one', () => {
    add('a');
    add('b');
    const results = (task: OpenTask) =>
      task.id.job === 'a' ? 'skipped' : 'placed';
    expect(offerAll(queue, 1, results)).to.have.length(2);
    expect(offerAll(queue, 2, results)).to.deep.equal(['a in-time']);
    expect(queue.size).to.equal(1);
  });

  it('stops at the first task when no upstream has free capacity', () => {
    add('a', {tasks: 5});
    expect(offerAll(queue, 1, () => 'full')).to.have.length(1);
    expect(queue.size).to.equal(5);
  });

  it('bounds the number of tasks skipped in one pass', () => {
    add('a', {tasks: 1_000});
    const seen = offerAll(queue, 1, () => 'skipped');
    expect(seen).to.have.length.below(100);
    expect(queue.size).to.equal(1_000);
  });

  it('skips tasks that are no longer ready', () => {
    const [task] = createTasks('a');
    if (task) {
      queue.add(task);
      task.phase = 'ended';
    }
    expect(offerAll(queue, 1)).to.deep.equal([]);
    expect(queue.size).to.equal(0);
  });
});
