import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {PauseDetector} from '../../src/instance/pause_detector.js';

/** Longest time in ms for which a step may pause a leader's orders. */
const MAX_PAUSE_MS = 130;

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

  for (const stepMs of [3_000, -3_000]) {
    // Guards against a leader that sends no orders until the time of day is
    // right again.
    it(`reports a step by ${stepMs} ms, which stays, for a moment only`, () => {
      clock.setSystemTime(Date.now() + stepMs);
      expect(detector.wasPausedRecently).to.equal(true);
      clock.tick(MAX_PAUSE_MS);
      expect(detector.wasPausedRecently).to.equal(false);
      clock.tick(10_000);
      expect(detector.wasPausedRecently).to.equal(false);
      expect(pauses).to.deep.equal([stepMs]);
    });

    // Guards against a return to the right time that counts as a pause of that
    // length, or that is not noticed.
    it(`reports a step by ${stepMs} ms, and the step back, for a moment each`, () => {
      clock.setSystemTime(Date.now() + stepMs);
      clock.tick(2_000);
      expect(detector.wasPausedRecently).to.equal(false);
      clock.setSystemTime(Date.now() - stepMs);
      expect(detector.wasPausedRecently).to.equal(true);
      clock.tick(MAX_PAUSE_MS);
      expect(detector.wasPausedRecently).to.equal(false);
      expect(pauses).to.deep.equal([stepMs, -stepMs]);
    });
  }
});
