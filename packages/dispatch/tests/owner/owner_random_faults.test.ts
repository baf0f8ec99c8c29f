/** Random faults on orders, upstreams and owners: no task runs twice at once. */
import {expect} from 'chai';
import prand from 'pure-rand';

import {type Delivery, findOverlappingRuns} from '../fake_upstreams.js';
import {OwnerHarness, step} from '../owner_harness.js';

const UPSTREAMS = 4;
const STEPS = 60;
const FATES: readonly Delivery[] = ['unreached', 'lost', 'answer-lost', 'late'];

/** Seeds that once failed, with the cause. */
const REGRESSIONS: readonly [seed: number, cause: string][] = [
  [1630, 'a start reached the next life of its upstream'],
  [457, 'a start was confirmed by a life that was not known yet'],
];

class Dice {
  private readonly rng: prand.RandomGenerator;

  constructor(seed: number) {
    this.rng = prand.xoroshiro128plus(seed);
  }

  below(limit: number): number {
    return prand.unsafeUniformIntDistribution(0, limit - 1, this.rng);
  }

  chance(percent: number): boolean {
    return this.below(100) < percent;
  }
}

async function play(seed: number): Promise<readonly string[]> {
  const dice = new Dice(seed);
  const harness = new OwnerHarness(UPSTREAMS);
  try {
    await harness.setUp();
    for (let i = 0; i < STEPS; i++) await act(harness, dice, i);
    for (const each of harness.upstreams) each.delivery = () => 'delivered';
    if (!harness.owner) await harness.startOwner();
    await harness.advanceClock(6_000);
    return findOverlappingRuns(harness.spans);
  } finally {
    await harness.close();
  }
}

async function act(
  harness: OwnerHarness,
  dice: Dice,
  turn: number,
): Promise<void> {
  const upstream = harness.upstream(dice.below(UPSTREAMS));
  const action = dice.below(100);
  const durable = dice.chance(30);
  // Few ids, so that jobs are submitted again while their runs go on.
  const id = `${durable ? 'd' : 't'}${dice.below(12)}`;
  if (!harness.owner) {
    if (dice.chance(60)) await harness.startOwner();
  } else if (action < 45) {
    const steps = [step(1 + dice.below(3), {declaredMs: 200})];
    void (durable
      ? harness.submitDurable(id, steps)
      : harness.submit(id, steps));
  } else if (action < 55) {
    void harness.call({type: 'abandon', job: id});
  } else if (action < 70) {
    const kind = FATES[dice.below(FATES.length)] ?? 'lost';
    const percent = dice.chance(30) ? 100 : 40;
    upstream.delivery = () => (dice.chance(percent) ? kind : 'delivered');
  } else if (action < 80) {
    upstream.delivery = () => 'delivered';
  } else if (action < 84) {
    upstream.restart();
    void harness.announce(upstream).catch(() => undefined);
  } else if (action < 90) {
    harness.kill();
  } else {
    upstream.runMs = 20 + dice.below(900);
    upstream.outcome = dice.chance(15) ? 'failed' : 'done';
  }
  await harness.advanceClock(5 + dice.below(turn % 5 === 0 ? 700 : 90));
}

describe('Owner under random faults', () => {
  for (const [seed, cause] of REGRESSIONS) {
    it(`runs no task twice at once, seed ${seed}: ${cause}`, async () => {
      expect(await play(seed)).to.deep.equal([]);
    });
  }

  it('runs no task twice at once', async () => {
    const first = Number(process.env['OWNER_SEED'] ?? 1);
    const count = Number(process.env['OWNER_SEEDS'] ?? 60);
    for (let seed = first; seed < first + count; seed++) {
      expect(await play(seed), `seed ${seed}`).to.deep.equal([]);
    }
  });
});
