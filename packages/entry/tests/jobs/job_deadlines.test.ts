import {type Clock, install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {JobDeadlines} from '../../src/jobs/job_deadlines.js';
import {runningJob} from '../fixtures.js';

const DAY_MS = 86_400_000;

describe('JobDeadlines', () => {
  let clock: Clock;
  let ended: string[];
  let deadlines: JobDeadlines;
  beforeEach(() => {
    clock = install({now: 0});
    ended = [];
    deadlines = new JobDeadlines(job => ended.push(job.jobId));
  });
  afterEach(() => clock.uninstall());

  const cases = [
    {name: 'a day', deadlineMs: DAY_MS},
    {name: 'more than the longest timer', deadlineMs: 40 * DAY_MS},
  ];
  for (const {name, deadlineMs} of cases) {
    it(`ends a job exactly at a deadline of ${name}`, async () => {
      deadlines.startTimer(runningJob({deadlineMs}));
      await clock.tickAsync(deadlineMs - 1);
      expect(ended).to.have.length(0);
      await clock.tickAsync(1);
      expect(ended).to.have.length(1);
      expect(clock.countTimers()).to.equal(0);
    });
  }

  it('ends a job that was taken over after its deadline', async () => {
    await clock.tickAsync(100);
    deadlines.startTimer(runningJob({deadlineMs: 50}));
    await clock.tickAsync(0);
    expect(ended).to.have.length(1);
  });

  it('keeps no timer of an answered job, after a lost term or without a deadline', () => {
    const job = runningJob({deadlineMs: 50});
    deadlines.startTimer(job);
    deadlines.clearTimer(job.jobId);
    deadlines.startTimer(runningJob());
    deadlines.startTimer(job);
    deadlines.clearAllTimers();
    expect(clock.countTimers()).to.equal(0);
  });
});
