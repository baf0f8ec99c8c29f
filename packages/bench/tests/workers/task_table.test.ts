import FakeTimers from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {TaskTable} from '../../src/workers/task_table.js';
import {WorkerRecord} from '../../src/workers/worker_record.js';
import {startRequest} from '../fixtures.js';

const BASE = {
  worker: 'w1',
  incarnation: 5,
  capacity: {slots: 2, processors: 4, memoryMb: 4_096, accelerators: 0},
  kinds: ['payment-posting'],
  speed: 2,
  restarted: false,
};

describe('TaskTable', () => {
  let clock: FakeTimers.Clock;
  let record: WorkerRecord;

  beforeEach(() => {
    clock = FakeTimers.install();
    record = new WorkerRecord();
  });

  afterEach(() => clock.uninstall());

  const table = (overrides: Partial<typeof BASE> = {}) =>
    new TaskTable({...BASE, ...overrides}, record);

  const refusals = [
    ['another life', 'wrong-incarnation', {incarnation: 4}],
    ['a kind it lacks', 'unknown-kind', {taskId: 'x', kind: 'other'}],
    [
      'a task above its capacity',
      'too-large',
      {
        taskId: 'x',
        resources: {slots: 3, processors: 1, memoryMb: 1, accelerators: 0},
      },
    ],
    [
      'an older term',
      'old-epoch',
      {taskId: 'x', owner: {group: 'dc1.0', generation: 1, term: 1}},
    ],
    [
      'an older generation with a higher term',
      'old-epoch',
      {taskId: 'x', owner: {group: 'dc1.0', generation: 0, term: 9}},
    ],
    ['the same attempt twice', 'duplicate', {}],
  ] as const;
  for (const [what, refusal, overrides] of refusals) {
    it(`refuses ${what}, which would otherwise run wrongly`, async () => {
      const tasks = table();
      void tasks.start(startRequest());
      const reply = await tasks.start(startRequest(overrides));
      expect(reply).to.include({state: 'refused', refusal});
      expect(record.starts).to.have.length(1);
    });
  }

  it('refuses a start without a free slot, so that credits are tested', async () => {
    const tasks = table();
    void tasks.start(startRequest({taskId: 'a'}));
    void tasks.start(startRequest({taskId: 'b'}));
    const reply = await tasks.start(startRequest({taskId: 'c'}));
    expect(reply).to.include({refusal: 'no-slot'});
  });

  it('runs for the payload time divided by its speed', async () => {
    const ended = table().start(startRequest());
    await clock.tickAsync(49);
    expect(record.starts[0]?.end).to.equal(undefined);
    await clock.tickAsync(1);
    expect(await ended).to.deep.include({
      state: 'done',
      value: {value: 'v', worker: 'w1'},
    });
  });

  it('keeps progress when the speed changes, or faults would be too short', async () => {
    const tasks = table();
    void tasks.start(startRequest());
    await clock.tickAsync(25);
    tasks.straggle(10);
    await clock.tickAsync(249);
    expect(record.starts[0]?.end).to.equal(undefined);
    await clock.tickAsync(1);
    expect(record.starts[0]?.end).to.equal('done');
  });

  it('stops a task whose lease lapses, and not one that is renewed', async () => {
    const tasks = table();
    const payload = {runMs: 20_000, value: 'v'};
    void tasks.start(startRequest({taskId: 'a', payload}));
    void tasks.start(startRequest({taskId: 'b', payload}));
    await clock.tickAsync(2_000);
    const ids = [
      {taskId: 'a', attempt: 1},
      {taskId: 'z', attempt: 1},
    ];
    expect(tasks.renew(3_000, ids)).to.deep.equal(['z']);
    await clock.tickAsync(1_000);
    expect(record.starts.map(each => each.end)).to.deep.equal([
      undefined,
      'lapsed',
    ]);
  });

  for (const ask of ['query', 'stop'] as const) {
    it(`seals an attempt never seen on ${ask}, so that it can't start later`, async () => {
      const tasks = table();
      expect(tasks[ask]('dc1.0.abc/0', 1)).to.include({state: 'never-started'});
      const reply = await tasks.start(startRequest());
      expect(reply).to.include({refusal: 'sealed'});
    });
  }

  it("can't tell about attempts of an earlier life", () => {
    const tasks = table({restarted: true});
    expect(tasks.query('dc1.0.abc/0', 1)).to.include({state: 'unknown'});
  });

  it('answers a query for a stopped and for a running task', async () => {
    const tasks = table();
    void tasks.start(startRequest());
    expect(tasks.query('dc1.0.abc/0', 1)).to.include({state: 'running'});
    expect(tasks.stop('dc1.0.abc/0', 1)).to.include({state: 'stopped'});
    expect(tasks.usage.runningTasks).to.equal(0);
    expect(record.queriesWhileRunning).to.equal(1);
  });

  it('fails tasks at once on command', async () => {
    const tasks = table();
    tasks.setFailing(true);
    const ended = tasks.start(startRequest());
    await clock.tickAsync(5);
    expect(await ended).to.include({state: 'error'});
  });

  it('refuses starts while it leaves, and ends what runs', async () => {
    const tasks = table();
    const first = tasks.start(startRequest({taskId: 'a'}));
    tasks.leaving = true;
    const second = await tasks.start(startRequest({taskId: 'b'}));
    expect(second).to.include({refusal: 'leaving'});
    await clock.tickAsync(50);
    expect(await first).to.include({state: 'done'});
  });
});
