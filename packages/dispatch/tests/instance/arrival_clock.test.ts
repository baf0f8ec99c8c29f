import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {ArrivalClock} from '../../src/instance/arrival_clock.js';

describe('ArrivalClock', () => {
  let clock: Clock;
  let arrivalClock: ArrivalClock;

  beforeEach(() => {
    clock = fakeTimers.install({
      toFake: ['setInterval', 'clearInterval', 'performance', 'Date'],
    });
    arrivalClock = new ArrivalClock();
    clock.tick(1_000);
  });

  afterEach(() => {
    arrivalClock.close();
    clock.uninstall();
  });

  it('counts time in which the process was suspended', () => {
    const arrival = arrivalClock.arrivalNow;
    clock.setSystemTime(Date.now() + 5_000);
    expect(arrival.ageMs).to.be.at.least(5_000);
  });

  // Guards against a message that is read in a later turn of the event loop
  // than the first timers after a pause.
  it('counts a pause before the message was read', () => {
    clock.setSystemTime(Date.now() + 5_000);
    clock.tick(100);
    expect(arrivalClock.arrivalNow.ageMs).to.be.at.least(5_000);
  });

  it('does not make a message younger when the time of day steps back', () => {
    const arrival = arrivalClock.arrivalNow;
    clock.setSystemTime(Date.now() - 60_000);
    clock.tick(700);
    expect(arrival.ageMs).to.be.within(700, 900);
  });

  it('counts at most 200 ms too much while the process runs', () => {
    clock.tick(1_099);
    expect(arrivalClock.arrivalNow.ageMs).to.be.within(0, 200);
  });
});
