import {NullMetrics} from '@mustardferry/runtime';
import {expect} from 'chai';

import type {AttemptOutcome} from '../../src/dispatch/attempt_outcome.js';
import {
  Dispatcher,
  type DispatcherOptions,
} from '../../src/dispatch/dispatcher.js';
import type {RunningAttempt, TaskEntry} from '../../src/dispatch/task_entry.js';
import type {RunningJob} from '../../src/jobs/running_job.js';
import {JobOwnership} from '../../src/jobs/task_scheduler.js';
import {jobOf, LOGGER} from '../takeover_fixtures.js';

class FakeOwnership extends JobOwnership {
  override readonly epoch = {group: 'dc1.0', generation: 1, term: 1};
  override active = true;
  readonly events: string[] = [];

  override async recordStarts(): Promise<readonly []> {
    return [];
  }

  override async recordSeal(): Promise<void> {
    this.events.push('sealed');
  }

  override completeTask(): void {
    this.events.push('completed');
  }

  override failJob(): void {
    this.events.push('failed');
  }
}

describe('Dispatcher.releaseJob', () => {
  let dispatcher: Dispatcher;
  let owner: FakeOwnership;
  let events: string[];
  let finish: (outcome: AttemptOutcome) => void;

  function follow(
    _entry: TaskEntry,
    attempt: RunningAttempt,
  ): Promise<AttemptOutcome> {
    const run = {stop: () => events.push('stop'), queryNow: () => undefined};
    attempt.run = run as unknown as RunningAttempt['run'] & object;
    attempt.stopLeaseRenewal = () => events.push('renewals-ended');
    return new Promise(resolve => (finish = resolve));
  }

  /** Schedules the job's only task, running as after a takeover or queued. */
  function scheduleTask(job: RunningJob, phase: 'running' | 'queued'): void {
    const task = {job, owner, index: 0, nextAttempt: 2};
    if (phase === 'running') dispatcher.resumeTask(task);
    else dispatcher.scheduleTask(task);
  }

  beforeEach(() => {
    events = [];
    owner = new FakeOwnership();
    const nothing = () => undefined;
    const options = {
      sharing: {
        enqueue: nothing,
        next: nothing,
        release: nothing,
        cancel: () => events.push('dequeued'),
      },
      pool: {
        candidates: {
          hasFreeCredit: () => false,
          started: nothing,
          ended: nothing,
        },
        removeIfIdle: nothing,
        announcement: nothing,
      },
      credits: {use: nothing, free: nothing},
      launcher: {resumeAttempt: follow},
      outcomes: {recordOutcome: nothing},
      logger: LOGGER,
      metrics: new NullMetrics(),
    };
    dispatcher = new Dispatcher(options as unknown as DispatcherOptions);
  });

  afterEach(() => dispatcher.close());

  const cases = [
    {
      repeatable: false,
      leaves: 'renewals-ended',
      why: 'leaves a task running that must not run again',
    },
    {
      repeatable: true,
      leaves: 'stop',
      why: 'stops a task that the next owner runs again',
    },
  ];
  for (const {repeatable, leaves, why} of cases) {
    it(`${why}`, async () => {
      const job = jobOf(repeatable);
      scheduleTask(job, 'running');
      dispatcher.releaseJob(job);
      expect(events).to.deep.equal(['dequeued', leaves]);
      expect(dispatcher.openTaskCount).to.equal(1);
      owner.active = false;
      finish({type: 'stopped'});
      await new Promise(resolve => setImmediate(resolve));
      expect(dispatcher.openTaskCount).to.equal(0);
      expect(owner.events).to.deep.equal([]);
    });
  }

  it('drops queued tasks, which would otherwise start at two owners', () => {
    const job = jobOf(false, false);
    scheduleTask(job, 'queued');
    dispatcher.releaseJob(job);
    expect(events).to.deep.equal(['dequeued']);
    expect(dispatcher.openTaskCount).to.equal(0);
  });
});
