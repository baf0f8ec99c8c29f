import {upstreamKey} from '@mustardferry/model';
import {type Clock, install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import type {RunningJob} from '../../src/jobs/running_job.js';
import {
  FakeOwnership,
  type JobShape,
  ONCE,
  REPEATABLE,
  runningJob,
  upstream,
} from '../fixtures.js';
import {Harness} from './harness.js';

const DONE = {state: 'done', value: 7, runMs: 5};
const NEAR = upstream();
const FAR = upstream({
  worker: 'w2',
  address: '127.0.0.1:2',
  dataCentre: 'dc2',
});
const FAR_KEY = upstreamKey(FAR);

describe('Dispatcher during an evacuation', () => {
  let clock: Clock;
  let harness: Harness;
  let owner: FakeOwnership;
  beforeEach(() => {
    clock = install({now: 0});
    harness = new Harness([NEAR, FAR]);
    owner = new FakeOwnership();
  });
  afterEach(async () => {
    harness.close();
    // Runs that the end of the dispatcher awakes set their timers before that.
    await clock.tickAsync(0);
    clock.uninstall();
  });

  const schedule = async (
    shape: JobShape = {},
    waitMs = 0,
  ): Promise<RunningJob> => {
    const job = runningJob(shape);
    job.noteSubmitter(waitMs);
    job.record.tasks.forEach((_task, index) =>
      harness.dispatcher.scheduleTask({job, owner, index, nextAttempt: 1}),
    );
    await clock.tickAsync(5);
    return job;
  };
  const startsOn = (key: string): number =>
    harness.sent('start').filter(each => each.upstream === key).length;
  const reasonsOf = (job: RunningJob): readonly string[] =>
    job.steps.map(({step, reason}) => `${step} ${reason}`);

  for (const kind of [ONCE, REPEATABLE]) {
    it(`starts nothing there, with room elsewhere or not: ${kind.kind}`, async () => {
      harness.evacuate('dc2');
      await schedule({kind, tasks: 6});
      await clock.tickAsync(10_000);
      // Four slots of the other data centre, then no room.
      expect(harness.sent('start')).to.have.length(4);
      expect(startsOn(FAR_KEY)).to.equal(0);
      expect(owner.failures).to.have.length(0);
    });
  }

  it('lets runs there end and takes their results', async () => {
    await schedule({kind: REPEATABLE, tasks: 8});
    expect(startsOn(FAR_KEY)).to.equal(4);
    harness.evacuate('dc2');
    await clock.tickAsync(100);
    expect(harness.sent('stop')).to.have.length(0);
    for (const {answer} of harness.sent('start')) answer(DONE);
    await clock.tickAsync(5);
    expect(owner.completed).to.have.length(8);
    await schedule({kind: REPEATABLE, tasks: 8, jobId: 'next'});
    expect(startsOn(FAR_KEY)).to.equal(4);
  });

  it('retries a task in another data centre only', async () => {
    const other = upstream({worker: 'w3', address: '127.0.0.1:3'});
    harness.add(other);
    harness.evacuate('dc2');
    await schedule({kind: REPEATABLE, tasks: 1});
    const [first] = harness.sent('start');
    first?.answer({state: 'error', message: 'm'});
    await clock.tickAsync(5_000);
    const keys = harness.sent('start').map(each => each.upstream);
    expect(keys).to.have.members([upstreamKey(NEAR), upstreamKey(other)]);
  });

  it('does not use an upstream there that recovers or announces itself', async () => {
    harness.evacuate('dc1', 'dc2');
    harness.pool.setAllowance(FAR_KEY, 0);
    harness.pool.setAllowance(FAR_KEY, 4);
    harness.add(upstream({address: '127.0.0.1:3', dataCentre: 'dc2'}));
    await schedule({kind: REPEATABLE});
    await clock.tickAsync(10_000);
    expect(harness.pool.sent).to.have.length(0);
    // Routing is tried again every 20 ms only while a credit is free.
    expect(harness.pool.candidates.freeCredits).to.equal(0);
  });

  it('sends a task elsewhere whose start was recorded before the evacuation', async () => {
    let recorded = (): void => undefined;
    owner.answerStarts = starts =>
      new Promise(resolve => {
        recorded = () => resolve(starts.map(() => ({outcome: 'started'})));
      });
    harness.evacuate('dc1');
    const job = await schedule({tasks: 1});
    expect(owner.batches[0]?.[0]?.upstream.address).to.equal(FAR.address);
    harness.evacuate('dc2');
    recorded();
    await clock.tickAsync(5);
    expect(owner.sealed).to.deep.equal([1]);
    recorded();
    await clock.tickAsync(5);
    expect(harness.sent('start').map(each => each.upstream)).to.deep.equal([
      upstreamKey(NEAR),
    ]);
    expect(harness.sent('start')[0]?.req.attempt).to.equal(2);
    expect(reasonsOf(job)).to.include('retried data-centre-evacuated');
    expect(harness.ledger.totals.inUse).to.equal(1);
  });

  it('refuses a queued job at once whose submitter waits, as not run', async () => {
    await schedule({kind: REPEATABLE, tasks: 8, jobId: 'running'});
    const job = await schedule({tasks: 2}, 1_000);
    harness.evacuate('dc1', 'dc2');
    await clock.tickAsync(0);
    expect(owner.failures).to.deep.equal([
      {code: 'data-centre-evacuated', detail: 'data centre dc1 is evacuated.'},
    ]);
    expect(job.mayHaveStarted).to.equal(false);
    expect(reasonsOf(job)).to.include('refused data-centre-evacuated');
  });

  it('keeps a queued job that fits elsewhere, too', async () => {
    await schedule({kind: REPEATABLE, tasks: 8, jobId: 'running'});
    await schedule({tasks: 2}, 1_000);
    harness.evacuate('dc2');
    await clock.tickAsync(500);
    expect(owner.failures).to.have.length(0);
  });

  it('keeps a stored job until the return, and then starts it there', async () => {
    harness.evacuate('dc1', 'dc2');
    const job = await schedule({tasks: 8});
    await clock.tickAsync(60_000);
    expect(harness.pool.sent).to.have.length(0);
    expect(reasonsOf(job)).to.include('waited data-centre-evacuated');
    harness.evacuate('dc1');
    await clock.tickAsync(5);
    // One task first, then twice as many after each success, as the upstream
    // may be slow after its return.
    expect(startsOn(FAR_KEY)).to.equal(1);
    harness.sent('start')[0]?.answer(DONE);
    await clock.tickAsync(5);
    expect(startsOn(FAR_KEY)).to.equal(3);
    for (const {answer} of harness.sent('start').slice(1)) answer(DONE);
    await clock.tickAsync(5);
    expect(startsOn(FAR_KEY)).to.equal(7);
    harness.evacuate();
    await clock.tickAsync(5);
    expect(startsOn(upstreamKey(NEAR))).to.equal(1);
    expect(owner.failures).to.have.length(0);
  });
});
