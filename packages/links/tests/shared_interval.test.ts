import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {everyShared} from '../src/shared_interval.js';

describe('everyShared', () => {
  let clock: Clock;
  let calls: string[];

  beforeEach(() => {
    clock = fakeTimers.install();
    calls = [];
  });

  afterEach(() => clock.uninstall());

  function add(name: string, periodMs: number): () => void {
    return everyShared(periodMs, () => void calls.push(name));
  }

  // Guards against a process that each of its connections wakes up.
  it('uses one timer for all callbacks of a period', () => {
    const stops = [add('a', 150), add('b', 150), add('c', 600)];
    expect(clock.countTimers()).to.equal(2);
    clock.tick(150);
    expect(calls).to.deep.equal(['a', 'b']);
    for (const stop of stops) stop();
    expect(clock.countTimers()).to.equal(0);
  });

  // Guards against a silent connection that is noticed late, because it was
  // opened after the others.
  it('calls a later callback within one period', () => {
    const stopFirst = add('a', 150);
    clock.tick(100);
    const stopSecond = add('b', 150);
    clock.tick(50);
    expect(calls).to.deep.equal(['a', 'b']);
    stopFirst();
    clock.tick(150);
    expect(calls).to.deep.equal(['a', 'b', 'b']);
    stopSecond();
  });

  it('starts anew after its last callback has ended', () => {
    add('a', 150)();
    clock.tick(100);
    const stop = add('b', 150);
    clock.tick(149);
    expect(calls).to.deep.equal([]);
    clock.tick(1);
    expect(calls).to.deep.equal(['b']);
    stop();
  });
});
