import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {PauseDetector} from '../../src/instance/pause_detector.js';

describe('PauseDetector', () => {
  let clock: Clock;
  let pauses: number[];
  let detector: PauseDetector;

  beforeEach(() => {
    clock = fakeTimers.install();
    pauses = [];
    detector = new PauseDetector(pausedMs => void pauses.push(pausedMs));
  });

  afterEach(() => {
    detector.close();
    clock.uninstall();
  });

  /** The monotonic clock stands still and the time of day goes on. */
  function suspend(ms: number): void {
    clock.setSystemTime(Date.now() + ms);
  }

  // Guards against an order of a leader that was suspended and replaced: the
  // first check after the suspension must see it, whenever the timer fires.
  it('detects a pause at the first check, before its timer fires', () => {
    clock.tick(10);
    suspend(2_000);
    expect(detector.wasPausedRecently).to.equal(true);
    expect(pauses).to.deep.equal([2_000]);
  });

  it('counts a pause as recent for a round trip and a sync', () => {
    suspend(2_000);
    expect(detector.wasPausedRecently).to.equal(true);
    clock.tick(99);
    expect(detector.wasPausedRecently).to.equal(true);
    clock.tick(1);
    expect(detector.wasPausedRecently).to.equal(false);
  });

  // Guards against a first order that is delayed by a pause long before it.
  it('forgets a pause that nothing has asked for', () => {
    suspend(2_000);
    clock.tick(1_500);
    expect(detector.wasPausedRecently).to.equal(false);
    expect(pauses).to.deep.equal([2_000]);
  });
});
