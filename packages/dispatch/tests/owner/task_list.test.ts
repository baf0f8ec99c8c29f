import {expect} from 'chai';

import type {OpenTask} from '../../src/owner/job_table_types.js';
import {ReadyQueue} from '../../src/owner/ready_queue.js';
import {createTasks, offerAll, type TaskOptions} from './queue_fixture.js';

describe('ReadyQueue with tasks that can not be placed', () => {
  let queue: ReadyQueue;

  beforeEach(() => {
    queue = new ReadyQueue();
  });

  function add(id: string, options?: TaskOptions): void {
    for (const task of createTasks(id, options)) queue.add(task);
  }

  // Guards against tasks that no upstream can take and that keep all others
  // behind them from being offered.
  for (const {title, requirements} of [
    {title: 'a label', requirements: {label: 'b'}},
    {title: 'a size', requirements: {cpuMillis: 64_000}},
    {title: 'a limit per upstream', requirements: {maxPerUpstream: 1}},
  ]) {
    it(`offers tasks behind many that wait for an upstream with ${title}`, () => {
      add('blocked', {tasks: 100, step: requirements});
      add('free');
      const place = ({id}: OpenTask) =>
        id.job === 'free' ? 'placed' : 'blocked';
      expect(offerAll(queue, 1, place)).to.include('free in-time');
      expect(queue.size).to.equal(100);
    });
  }

  it('offers all tasks within a few passes, whichever are skipped', () => {
    add('skipped', {tasks: 200});
    add('free', {tasks: 3});
    const place = ({id}: OpenTask) =>
      id.job === 'free' ? 'placed' : 'skipped';
    const seen = new Set<string>();
    for (let pass = 0; pass < 10; pass++) {
      for (const each of offerAll(queue, 1, place)) seen.add(each);
    }
    expect([...seen]).to.include('free in-time');
    expect(queue.size).to.equal(200);
  });

  it('offers all tasks within a few passes, however many requirements differ', () => {
    for (let n = 0; n < 300; n++) add(`${n}`, {step: {cpuMillis: n + 1}});
    const seen = new Set<string>();
    for (let pass = 0; pass < 6; pass++) {
      for (const each of offerAll(queue, 1, () => 'blocked')) seen.add(each);
    }
    expect(seen.size).to.equal(300);
  });

  it('says that another pass is needed while tasks are left out', () => {
    add('few', {tasks: 10});
    const pass = {
      now: 1,
      fastestTimeFactor: 1,
      mayStart: () => true,
      offer: () => 'skipped' as const,
      dropJob: () => false,
      canServeLate: () => true,
    };
    expect(queue.offerAll(pass)).to.equal(false);
    add('many', {tasks: 100});
    expect(queue.offerAll(pass)).to.equal(true);
  });

  it('offers by age across different requirements', () => {
    add('a', {step: {cpuMillis: 1}});
    add('b', {step: {cpuMillis: 2}});
    add('c', {step: {cpuMillis: 1}});
    expect(offerAll(queue, 1)).to.deep.equal([
      'a in-time',
      'b in-time',
      'c in-time',
    ]);
  });

  // Guards against a leader that blocks its event loop, and loses its quorum,
  // as each task of a recovered job reads all tasks of that job.
  it('reads no other tasks of a job to place one of them', () => {
    const tasks = createTasks('large', {tasks: 500, started: true});
    const [first] = tasks;
    if (!first) throw new Error('no task');
    const all = first.job.tasks;
    let reads = 0;
    Object.defineProperty(first.job, 'tasks', {
      get: () => {
        reads++;
        return all;
      },
    });
    for (const task of tasks) queue.add(task);
    offerAll(queue, 200, () => 'blocked');
    offerAll(queue, 201);
    expect(queue.size).to.equal(0);
    expect(reads).to.equal(0);
  });
});
