import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {WaitingCallers} from '../../src/instance/waiting_callers.js';

describe('WaitingCallers', () => {
  let clock: Clock;
  let abandoned: string[];
  let callers: WaitingCallers<object>;
  const first = {};
  const second = {};

  beforeEach(() => {
    clock = fakeTimers.install();
    abandoned = [];
    callers = new WaitingCallers(job => abandoned.push(job));
  });

  afterEach(() => clock.uninstall());

  it('abandons the jobs of a lost instance before its callers retry', () => {
    callers.add('a', first);
    callers.add('b', second);
    callers.lost(first);
    clock.tick(1_299);
    expect(abandoned).to.deep.equal(['a']);
  });

  it('keeps a job that is added again on another connection', () => {
    callers.add('a', first);
    callers.lost(first);
    clock.tick(100);
    callers.add('a', second);
    clock.tick(10_000);
    expect(abandoned).to.deep.equal([]);
  });

  it('does not abandon a job that was answered', () => {
    callers.add('a', first);
    callers.remove('a', first);
    callers.lost(first);
    clock.tick(10_000);
    expect(abandoned).to.deep.equal([]);
  });
});
