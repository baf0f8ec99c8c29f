import {must} from '@mustardferry/model';
import {expect} from 'chai';

import {LeaseClock} from '../../src/owner/lease_clock.js';

const LEASE_MS = 700;

function createClock(clockMs: number, at: number): LeaseClock {
  const clock = new LeaseClock(LEASE_MS);
  clock.observeReading(clockMs, at);
  return clock;
}

describe('LeaseClock', () => {
  it('grants leases on the clock of the upstream', () => {
    const clock = createClock(50_000, 1_000);
    expect(clock.grantLease(1_100)).to.equal(50_800);
  });

  it('expects a lease to expire on the slowest possible clock', () => {
    const clock = createClock(50_000, 1_000);
    clock.grantLease(1_000);
    // A clock that is 2% slow needs 716 ms for 702.
    expect(clock.allExpiredAt).to.be.closeTo(1_716.3, 0.1);
  });

  it('keeps the newest lease when a later reading shows less time left', () => {
    const clock = createClock(50_000, 1_000);
    clock.grantLease(1_000);
    clock.observeReading(50_098, 1_100);
    expect(clock.allExpiredAt).to.be.closeTo(1_100 + 604 / 0.98, 0.1);
  });

  it('drops a reading that was delayed for long', () => {
    const clock = createClock(50_000, 1_000);
    clock.observeReading(51_000, 2_000);
    clock.observeReading(50_100, 2_100);
    expect(clock.grantLease(2_100)).to.equal(51_800);
  });

  // Guards against short leases while an upstream answers slowly.
  it('grants whole leases although readings arrive late', () => {
    const clock = createClock(50_000, 1_000);
    clock.observeReading(50_850, 2_100);
    expect(clock.grantLease(2_100)).to.be.within(51_790, 51_800);
  });

  // Guards against a lease that outlasts what the next owner waits for.
  it('grants no longer leases while a slow clock is only read late', () => {
    const delayMs = 240;
    const read = (now: number) => 50_000 + 0.98 * (now - 1_000);
    const clock = createClock(read(1_000), 1_000);
    for (let now = 1_100; now <= 14_000; now += 100) {
      clock.observeReading(Math.floor(read(now - delayMs)), now);
      const grantedMs = must(clock.grantLease(now), 'no lease') - read(now);
      expect(grantedMs, `at ${now}`).to.be.at.most(LEASE_MS + 30);
    }
  });

  it('has no expiry to wait for without a lease', () => {
    const clock = createClock(50_000, 1_000);
    expect(clock.allExpiredAt).to.equal(1_000);
  });

  it('grants no lease before the first reading', () => {
    const clock = new LeaseClock(LEASE_MS);
    expect(clock.grantLease(1_000)).to.equal(undefined);
    clock.observeReading(50_000, 1_100);
    expect(clock.grantLease(1_100)).to.equal(50_700);
  });

  // Guards against runs that are started elsewhere while an order to an earlier
  // incarnation keeps them alive.
  it('expects a lease from an order to an earlier incarnation, with or without a reading', () => {
    const clock = new LeaseClock(LEASE_MS);
    clock.expectEarlierLease(1_000, 980);
    expect(clock.allExpiredAt).to.be.closeTo(2_080, 0.1);
    clock.observeReading(50_000, 1_100);
    expect(clock.allExpiredAt).to.be.closeTo(2_080, 0.1);
  });
});
