import type {StartResult} from '@mustardferry/coordination';
import {UpstreamNotReachedError} from '@mustardferry/links';
import {type Clock, install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import type {RunningJob} from '../../src/jobs/running_job.js';
import {FakeOwnership, runningJob, upstream} from '../fixtures.js';
import {Harness} from './harness.js';

const TWO = [upstream(), upstream({worker: 'w2', address: '127.0.0.1:2'})];
const STARTED: readonly StartResult[] = [{outcome: 'started'}];

// A busy owner may lose its lease and regain it in the same term. No other owner
// takes its jobs over then, so a task that it dropped would never run.
describe('Dispatcher of an owner that loses its lease for a moment', () => {
  let clock: Clock;
  let harness: Harness;
  let owner: FakeOwnership;
  let job: RunningJob;

  beforeEach(() => {
    clock = install({now: 0});
    harness = new Harness(TWO);
    owner = new FakeOwnership();
    job = runningJob({tasks: 1});
  });

  afterEach(() => {
    harness.close();
    clock.uninstall();
  });

  async function schedule(): Promise<void> {
    harness.dispatcher.scheduleTask({job, owner, index: 0, nextAttempt: 1});
    await clock.tickAsync(1_000);
  }

  async function regainLease(): Promise<void> {
    owner.active = true;
    await clock.tickAsync(1_000);
  }

  function loseLeaseWhileRecording(): void {
    owner.answerStarts = async () => {
      owner.active = false;
      return STARTED;
    };
  }

  it('sends a task whose start was recorded once the lease is regained', async () => {
    loseLeaseWhileRecording();
    await schedule();
    expect(harness.sent('start')).to.have.length(0);
    await regainLease();
    expect(harness.sent('start')).to.have.length(1);
    expect(owner.failures).to.have.length(0);
  });

  it('records a start again that was refused without a lease', async () => {
    owner.answerStarts = () => {
      owner.active = false;
      return Promise.reject(new Error('leadership is being transferred'));
    };
    await schedule();
    owner.answerStarts = async () => STARTED;
    await regainLease();
    expect(harness.sent('start')).to.have.length(1);
    expect(owner.failures).to.have.length(0);
  });

  it('records a seal again that was refused without a lease', async () => {
    await schedule();
    const recordSeal = owner.recordSeal.bind(owner);
    owner.recordSeal = () => {
      owner.active = false;
      return Promise.reject(new Error('leadership is being transferred'));
    };
    harness.sent('start')[0]?.fail(new UpstreamNotReachedError('refused'));
    await clock.tickAsync(1_000);
    expect(harness.sent('start')).to.have.length(1);
    owner.recordSeal = recordSeal;
    await regainLease();
    expect(harness.sent('start')).to.have.length(2);
    expect(owner.failures).to.have.length(0);
  });

  // The next owner would find an attempt that was sent although it took over.
  it('sends nothing when the next owner takes the job over', async () => {
    loseLeaseWhileRecording();
    await schedule();
    job.fail({code: 'owner-unknown', detail: 'owner changed'});
    harness.dispatcher.releaseJob(job);
    await clock.tickAsync(1_000);
    expect(harness.pool.sent).to.have.length(0);
    expect(owner.failures).to.have.length(0);
    expect(harness.ledger.totals.inUse).to.equal(0);
    expect(harness.dispatcher.openTaskCount).to.equal(0);
  });
});
