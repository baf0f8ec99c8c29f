import type {UpstreamLink} from '@mustardferry/links';
import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {
  type LeasedAttempt,
  LeaseRenewer,
} from '../../src/dispatch/lease_renewer.js';
import type {TaskAttempt} from '../../src/dispatch/task_attempt.js';
import {LOGGER} from '../takeover_fixtures.js';

const LEASE_MS = 3_000;

describe('LeaseRenewer', () => {
  let clock: Clock;
  let renewer: LeaseRenewer;
  let renewed: {readonly atMs: number; readonly taskIds: readonly string[]}[];
  let link: UpstreamLink;

  function leased(taskId: string): LeasedAttempt {
    const run = {queryNow: () => undefined} as unknown as TaskAttempt;
    return {taskId, attempt: 1, startedAtMs: Date.now(), link, run};
  }

  beforeEach(() => {
    clock = fakeTimers.install();
    renewed = [];
    link = {
      renew: async (req: {tasks: readonly {taskId: string}[]}) => {
        const taskIds = req.tasks.map(task => task.taskId);
        renewed.push({atMs: Date.now(), taskIds});
        return {notRunning: []};
      },
    } as unknown as UpstreamLink;
    renewer = new LeaseRenewer(LEASE_MS, LOGGER);
  });

  afterEach(() => {
    renewer.close();
    clock.uninstall();
  });

  it('renews taken-over attempts at once, before their lease expires', async () => {
    for (const taskId of ['a', 'b']) {
      renewer.add(leased(taskId));
      renewer.renewAttempt(taskId, 1);
    }
    await clock.tickAsync(1);
    expect(renewed.map(({taskIds}) => taskIds)).to.deep.equal([['a', 'b']]);
    await clock.tickAsync(LEASE_MS);
    const gaps = renewed.map(({atMs}, i) => atMs - (renewed[i - 1]?.atMs ?? 0));
    expect(Math.max(...gaps)).to.be.lessThan(LEASE_MS);
  });

  it('continues the renewals of a later ownership when an earlier one ends', async () => {
    const earlier = leased('a');
    renewer.add(earlier);
    renewer.remove(earlier);
    await clock.tickAsync(LEASE_MS);
    expect(renewed).to.deep.equal([]);
    renewer.add(leased('a'));
    renewer.remove(earlier);
    await clock.tickAsync(LEASE_MS);
    expect(renewed).to.not.deep.equal([]);
  });
});
