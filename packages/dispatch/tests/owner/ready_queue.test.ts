import {expect} from 'chai';

import type {BoardTask} from '../../src/owner/board_types.js';
import {
  type Band,
  type OfferResult,
  ReadyQueue,
} from '../../src/owner/ready_queue.js';
import {TaskBoard} from '../../src/owner/task_board.js';
import {QUEUE, step} from '../owner_harness.js';

interface TaskOptions {
  readonly priority?: number;
  readonly since?: number;
  readonly started?: boolean;
  readonly tasks?: number;
}

function tasksOf(id: string, options: TaskOptions = {}): readonly BoardTask[] {
  const {priority = 0, since = 0, started = false, tasks = 1} = options;
  const job = new TaskBoard().admit(
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
    {since, isNew: true},
    () => undefined,
  );
  job.started = started;
  return job.tasks.flat();
}

function offered(
  queue: ReadyQueue,
  now: number,
  result: (task: BoardTask) => OfferResult = () => 'placed',
): string[] {
  const seen: string[] = [];
  queue.offerAll({
    now,
    fastestFactor: 1,
    isOffered: () => true,
    offer: (task: BoardTask, band: Band) => {
      seen.push(`${task.id.job} ${band}`);
      return result(task);
    },
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

  it('keeps the place of a job that has begun, so that its work counts', () => {
    add('begun', {since: 0, started: true});
    add('fresh', {since: 190});
    expect(offered(queue, 200)).to.deep.equal([
      'begun in-time',
      'fresh in-time',
    ]);
  });

  it('tells jobs that are worth nothing any more from late ones', () => {
    add('old', {since: 0});
    expect(offered(queue, 1_041)).to.deep.equal(['old worthless']);
  });

  it('offers a task again that was passed over, and forgets a dropped one', () => {
    add('a');
    add('b');
    const results = (task: BoardTask) =>
      task.id.job === 'a' ? 'passed-over' : 'dropped';
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
