import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {PauseDetector} from '../../src/instance/pause_detector.js';

/** Longest time in ms for which a step may pause a leader's orders. */
const MAX_PAUSE_MS = 130;

describe('PauseDetector', () => {
  let clock: Clock;
  let detector: PauseDetector;
  let pauses: number[];

  beforeEach(() => {
    clock = fakeTimers.install({
      toFake: ['setInterval', 'clearInterval', 'performance', 'Date'],
    });
    pauses = [];
    detector = new PauseDetector(pausedMs => pauses.push(pausedMs));
  });

  afterEach(() => {
    detector.close();
    clock.uninstall();
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
