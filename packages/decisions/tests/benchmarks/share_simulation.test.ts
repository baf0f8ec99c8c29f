import {expect} from 'chai';

import {ShareSimulation} from '../../src/benchmarks/share_simulation.js';
import {WeightedFairSharing} from '../../src/sharing/weighted_fair_sharing.js';

const SHARES = [40, 30, 20, 10];
const SLOTS = 30 * 8;

function createSimulation(
  isActive: (team: number, now: number) => boolean,
): ShareSimulation {
  return new ShareSimulation({
    instances: 6,
    workers: 30,
    shares: SHARES,
    runMs: [60, 150, 300, 600],
    seed: 12,
    createSharing: () => new WeightedFairSharing(),
    isActive,
  });
}

function advanceTo(target: ShareSimulation, untilMs: number): void {
  while (target.now < untilMs) target.step();
  target.checkInvariants();
}

describe('instances and allocator together', () => {
  it('keep the shares within 5% over 10 s, with wrong declared run times', () => {
    const target = createSimulation(() => true);
    advanceTo(target, 2_000);
    target.receivedSlotMs.fill(0);
    advanceTo(target, 12_000);
    const total = target.receivedSlotMs.reduce((sum, slots) => sum + slots, 0);
    SHARES.forEach((share, team) => {
      const part = (100 * (target.receivedSlotMs[team] ?? 0)) / total;
      expect(part, `team-${team}`).to.be.within(share * 0.95, share * 1.05);
    });
  });

  for (const team of SHARES.keys()) {
    it(`return borrowed share to team-${team} within 1 s of its demand`, () => {
      const target = createSimulation(
        (each, now) => each !== team || now >= 3_000,
      );
      advanceTo(target, 3_000);
      const promised = (SLOTS * (SHARES[team] ?? 0)) / 100;
      let mostSlots = 0;
      while (target.now < 4_000) {
        target.step();
        mostSlots = Math.max(mostSlots, target.running()[team] ?? 0);
      }
      expect(mostSlots).to.be.at.least(0.95 * promised);
    });
  }
});
