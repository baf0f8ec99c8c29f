import type {UpstreamLink} from '@mustardferry/links';
import type {RenewLeasesReply, RenewLeasesRequest} from '@mustardferry/model';
import {type Clock, install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {
  type LeasedAttempt,
  LeaseRenewer,
} from '../../src/dispatch/lease_renewer.js';
import type {TaskAttempt} from '../../src/dispatch/task_attempt.js';
import {LOGGER} from '../fixtures.js';

describe('LeaseRenewer', () => {
  let clock: Clock;
  let renewer: LeaseRenewer;
  let sent: RenewLeasesRequest[];
  let checked: string[];
  let answer: () => Promise<RenewLeasesReply>;
  beforeEach(() => {
    clock = install({now: 0});
    renewer = new LeaseRenewer(3_000, LOGGER);
    sent = [];
    checked = [];
    answer = async () => ({incarnation: 1, notRunning: []});
  });
  afterEach(() => clock.uninstall());

  const link = {
    name: 'w1',
    renew: (req: RenewLeasesRequest) => {
      sent.push(req);
      return answer();
    },
  } as unknown as UpstreamLink;
  const add = (taskId: string): LeasedAttempt => {
    const run = {
      queryNow: () => checked.push(taskId),
    } as unknown as TaskAttempt;
    const startedAtMs = Date.now();
    const held = {taskId, attempt: 1, startedAtMs, link, run};
    renewer.add(held);
    return held;
  };

  it('renews each lease in time, with one request for all tasks of an upstream', async () => {
    add('a');
    await clock.tickAsync(1);
    add('b');
    await clock.tickAsync(2_998);
    expect(sent).to.have.length(2);
    expect(sent[1]?.tasks.map(({taskId}) => taskId)).to.deep.equal(['a', 'b']);
    expect(checked).to.have.length(0);
  });

  it('sends no renewal for short or ended tasks', async () => {
    renewer.remove(add('a'));
    await clock.tickAsync(900);
    const later = add('b');
    await clock.tickAsync(200);
    renewer.remove(later);
    await clock.tickAsync(3_000);
    expect(sent).to.have.length(0);
    renewer.close();
    expect(clock.countTimers()).to.equal(0);
  });

  it('queries tasks at once that no longer run or whose upstream is unreachable', async () => {
    add('a');
    add('b');
    answer = async () => ({incarnation: 1, notRunning: ['b']});
    await clock.tickAsync(1_000);
    expect(checked).to.deep.equal(['b']);
    answer = () => Promise.reject(new Error('unreachable'));
    await clock.tickAsync(1_000);
    expect(checked).to.deep.equal(['b', 'a', 'b']);
  });
});
