import type {StartResult} from '@mustardferry/coordination';
import {
  UpstreamExchangeError,
  UpstreamNotReachedError,
} from '@mustardferry/links';
import {upstreamKey} from '@mustardferry/model';
import {type Clock, install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import type {RunningJob} from '../../src/jobs/running_job.js';
import {
  FakeOwnership,
  type JobShape,
  OTHER_JOB_ID,
  REPEATABLE,
  runningJob,
  startItem,
  upstream,
} from '../fixtures.js';
import {Harness, type Sent} from './harness.js';

const DONE = {state: 'done', value: 7, runMs: 5};
const BROKEN = new UpstreamExchangeError('broken');
const TWO = [upstream(), upstream({worker: 'w2', address: '127.0.0.1:2'})];
const KEY = upstreamKey(upstream());

describe('Dispatcher', () => {
  let clock: Clock;
  let harness: Harness;
  let owner: FakeOwnership;
  beforeEach(() => {
    clock = install({now: 0});
    harness = new Harness(TWO);
    owner = new FakeOwnership();
  });
  afterEach(() => {
    harness.close();
    clock.uninstall();
  });

  const schedule = async (shape: JobShape = {}): Promise<RunningJob> => {
    const job = runningJob(shape);
    job.record.tasks.forEach((_task, index) =>
      harness.dispatcher.scheduleTask({job, owner, index, nextAttempt: 1}),
    );
    await clock.tickAsync(5);
    return job;
  };
  const cancel = (job: RunningJob): void => {
    const answer = job.fail({code: 'cancelled', detail: ''});
    if (answer !== undefined) harness.dispatcher.cancel(job, answer);
  };
  const inUse = (): number => harness.ledger.totals.inUse;

  it('sends no unrepeatable task before its start is recorded', async () => {
    let recorded: (results: readonly StartResult[]) => void = () => undefined;
    owner.answerStarts = () => new Promise(resolve => (recorded = resolve));
    await schedule();
    await clock.tickAsync(10_000);
    expect(owner.batches).to.have.length(1);
    expect(harness.pool.sent).to.have.length(0);
    recorded([{outcome: 'started'}, {outcome: 'started'}]);
    await clock.tickAsync(0);
    const sent = harness.sent('start').map(({req, upstream: key}) => ({
      key,
      ...req,
    }));
    const items = owner.batches[0]?.map(item => ({
      key: upstreamKey(item.upstream),
      taskId: `${item.jobId}/${item.taskIndex}`,
      attempt: item.attempt,
    }));
    expect(sent).to.have.length(2);
    sent.forEach((start, i) => expect(start).to.include(items?.[i]));
  });

  const unsent: readonly {
    readonly name: string;
    readonly prepare: () => void;
    readonly failure: object;
  }[] = [
    {
      name: 'was refused',
      prepare: () => {
        owner.answerStarts = async starts =>
          starts.map(() => ({outcome: 'refused', reason: 'already-started'}));
      },
      failure: {code: 'task-outcome-unknown', unknown: true},
    },
    {
      name: 'could not be recorded',
      prepare: () => {
        owner.answerStarts = () => Promise.reject(new Error('disk full'));
      },
      failure: {code: 'no-durable-storage'},
    },
  ];
  for (const {name, prepare, failure} of unsent) {
    it(`sends no task whose start ${name}`, async () => {
      prepare();
      await schedule({tasks: 1});
      await clock.tickAsync(10_000);
      expect(harness.pool.sent).to.have.length(0);
      expect(owner.failures[0]).to.include(failure);
      expect(inUse()).to.equal(0);
    });
  }

  it('sends repeatable kinds without waiting for a record', async () => {
    await schedule({kind: REPEATABLE});
    expect(owner.batches).to.have.length(0);
    expect(harness.sent('start')).to.have.length(2);
  });

  const restart = (message: Sent): void =>
    message.answer({state: 'unknown'}, message.req.incarnation + 1);
  const lost: readonly {
    readonly name: string;
    readonly start: (message: Sent) => void;
    readonly query?: (message: Sent) => void;
    readonly failure: object;
  }[] = [
    {
      name: 'its upstream restarted',
      start: message => message.fail(BROKEN),
      query: restart,
      failure: {code: 'task-outcome-unknown', unknown: true},
    },
    {
      name: 'its upstream became unreachable',
      start: message => message.fail(BROKEN),
      query: message => message.fail(BROKEN),
      failure: {code: 'task-outcome-unknown', unknown: true},
    },
    {
      name: 'it failed',
      start: message => message.answer({state: 'error', message: 'no'}),
      failure: {code: 'task-failed', detail: 'no'},
    },
    {
      name: 'its lease ended',
      start: message => message.answer({state: 'stopped'}),
      failure: {code: 'task-failed'},
    },
  ];
  for (const {name, start, query, failure} of lost) {
    it(`never sends an unrepeatable task again after ${name}`, async () => {
      await schedule({tasks: 1});
      const [first] = harness.sent('start');
      if (first !== undefined) start(first);
      for (let second = 0; second < 60; second++) {
        await clock.tickAsync(1_000);
        for (const message of harness.sent('query')) query?.(message);
      }
      expect(harness.sent('start')).to.have.length(1);
      expect(owner.failures).to.have.length(1);
      expect(owner.failures[0]).to.include(failure);
      expect(inUse()).to.equal(0);
    });
  }

  it('retries an unrepeatable task that did not start, after sealing the attempt', async () => {
    const job = await schedule({tasks: 1});
    const [first] = harness.sent('start');
    first?.fail(new UpstreamNotReachedError('refused'));
    await clock.tickAsync(5_000);
    expect(owner.sealed).to.deep.equal([1]);
    const [, second] = harness.sent('start');
    expect(second?.req.attempt).to.equal(2);
    expect(second?.upstream).not.to.equal(first?.upstream);
    second?.answer(DONE);
    await clock.tickAsync(0);
    expect(owner.completed).to.deep.equal([{index: 0, value: 7}]);
    expect(job.settled).to.equal(true);
    expect(harness.dispatcher.openTaskCount).to.equal(0);
  });

  it('retries a repeatable task on another upstream when its upstream is lost', async () => {
    await schedule({kind: REPEATABLE, tasks: 1});
    const [first] = harness.sent('start');
    first?.fail(BROKEN);
    await clock.tickAsync(0);
    for (const message of harness.sent('query')) restart(message);
    await clock.tickAsync(5_000);
    const [, second] = harness.sent('start');
    expect(second?.upstream).not.to.equal(first?.upstream);
    expect(inUse()).to.equal(1);
  });

  it('starts no queued task of a cancelled job and stops the running ones', async () => {
    const job = await schedule({kind: REPEATABLE, tasks: 20});
    const started = harness.sent('start');
    expect(started).to.have.length(8);
    cancel(job);
    expect(harness.sent('stop')).to.have.length(8);
    for (const message of started) message.answer(DONE);
    await clock.tickAsync(60_000);
    expect(harness.sent('start')).to.have.length(8);
    expect(owner.completed).to.have.length(0);
    expect(harness.dispatcher.openTaskCount).to.equal(0);
    expect(inUse()).to.equal(0);
  });

  it('sends nothing when the job is cancelled while a start is recorded', async () => {
    let recorded: (results: readonly StartResult[]) => void = () => undefined;
    owner.answerStarts = () => new Promise(resolve => (recorded = resolve));
    const job = await schedule({tasks: 1});
    cancel(job);
    recorded([{outcome: 'started'}]);
    await clock.tickAsync(1_000);
    expect(harness.pool.sent).to.have.length(0);
    expect(inUse()).to.equal(0);
  });

  it('fails the job when a seal could not be recorded', async () => {
    owner.recordSeal = () => Promise.reject(new Error('not recorded'));
    await schedule({tasks: 1});
    harness.sent('start')[0]?.fail(new UpstreamNotReachedError('refused'));
    await clock.tickAsync(60_000);
    expect(harness.sent('start')).to.have.length(1);
    expect(owner.failures).to.have.length(1);
  });

  it('starts no task while the lease is lost and resumes when it is regained', async () => {
    owner.active = false;
    await schedule({kind: REPEATABLE, tasks: 1});
    await clock.tickAsync(1_000);
    expect(harness.sent('start')).to.have.length(0);
    owner.active = true;
    await clock.tickAsync(1_000);
    expect(harness.sent('start')).to.have.length(1);
  });

  const resumed = [
    {name: 'uses its result', query: DONE, completed: 1, failed: 0},
    {
      name: 'reports an unknown outcome as a failure',
      query: {state: 'unknown'},
      completed: 0,
      failed: 1,
    },
  ];
  for (const {name, query, completed, failed} of resumed) {
    it(`does not restart an attempt of an earlier owner: ${name}`, async () => {
      const starts = [startItem({attempt: 5})];
      const job = runningJob({tasks: 1, takenOver: true, starts});
      harness.dispatcher.resumeTask({job, owner, index: 0, nextAttempt: 2_001});
      harness.sent('query')[0]?.answer(query);
      await clock.tickAsync(0);
      harness.sent('stop')[0]?.answer(query);
      await clock.tickAsync(10_000);
      expect(harness.sent('query')[0]?.req.attempt).to.equal(5);
      expect(harness.sent('start')).to.have.length(0);
      expect(owner.completed).to.have.length(completed);
      expect(owner.failures).to.have.length(failed);
    });
  }

  it('keeps the credit of another task when a resumed one ends', async () => {
    harness.close();
    harness = new Harness();
    await schedule({kind: REPEATABLE, tasks: 1, jobId: OTHER_JOB_ID});
    const starts = [startItem()];
    const job = runningJob({tasks: 1, takenOver: true, starts});
    harness.dispatcher.resumeTask({job, owner, index: 0, nextAttempt: 2_001});
    harness.sent('query')[0]?.answer(DONE);
    await clock.tickAsync(0);
    expect(owner.completed).to.have.length(1);
    expect(harness.ledger.getCredits(KEY).inUse).to.equal(1);
  });

  it('keeps the connection to a leaving upstream while a resumed task runs', async () => {
    const starts = [startItem()];
    const job = runningJob({tasks: 1, takenOver: true, starts});
    harness.dispatcher.resumeTask({job, owner, index: 0, nextAttempt: 2_001});
    harness.pool.stopNewWork(upstream());
    harness.pool.removeIfIdle(KEY);
    expect(harness.pool.announcement(KEY)).not.to.equal(undefined);
  });
});
