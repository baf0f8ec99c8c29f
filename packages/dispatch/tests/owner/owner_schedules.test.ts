/** Random faults of orders, upstreams and owners: no task runs twice at once. */
import {expect} from 'chai';
import prand from 'pure-rand';

import type {Step} from '../../src/jobs/job_types.js';
import {
  type Delivery,
  findOverlappingRuns,
  type RunSpan,
} from '../fake_upstreams.js';
import {OwnerHarness, step} from '../owner_harness.js';

const UPSTREAMS = 4;
const STEPS = 60;
const DELIVERIES: readonly Delivery[] = [
  'unreached',
  'lost',
  'answer-lost',
  'late',
];

/** Seeds that once failed, with the cause. */
const REGRESSIONS: readonly [seed: number, cause: string][] = [
  [1630, 'a start reached the next incarnation of its upstream'],
  [457, 'a start was confirmed by an incarnation that was not known yet'],
];

class SeededRandom {
  private readonly rng: prand.RandomGenerator;

  constructor(seed: number) {
    this.rng = prand.xoroshiro128plus(seed);
  }

  nextBelow(limit: number): number {
    return prand.unsafeUniformIntDistribution(0, limit - 1, this.rng);
  }

  nextChance(percent: number): boolean {
    return this.nextBelow(100) < percent;
  }
}

/** Steps of each job where tasks depend on others. */
const DEPENDENT_STEPS = [step(2), step(2, {after: [0], declaredMs: 200})];

/** Time in ms after which a submission is interrupted before its commit. */
const BEFORE_COMMIT_MS = 5;

/** What differs between the schedules. */
interface Variant {
  readonly createSteps: (random: SeededRandom) => readonly Step[];
  /** Percentage of the submissions whose owner is killed before their commit. */
  readonly uncommittedPercent: number;
}

const INDEPENDENT: Variant = {
  createSteps: random => [step(1 + random.nextBelow(3), {declaredMs: 200})],
  uncommittedPercent: 0,
};

const DEPENDENT: Variant = {
  createSteps: () => DEPENDENT_STEPS,
  uncommittedPercent: 20,
};

/** Returns the runs of a second step that began before the first was done. */
function findEarlyRuns(spans: readonly RunSpan[]): string[] {
  return spans
    .filter(({task, from}) => {
      const [job, stepIndex] = task.split('/');
      if (stepIndex !== '1') return false;
      return [0, 1].some(
        index =>
          !spans.some(
            each =>
              each.task === `${job}/0/${index}` &&
              each.outcome === 'done' &&
              each.to <= from,
          ),
      );
    })
    .map(({task, run, upstream}) => `${task}: ${upstream}/${run} is early`);
}

async function runWithFaults(
  seed: number,
  variant = INDEPENDENT,
): Promise<readonly string[]> {
  const random = new SeededRandom(seed);
  const harness = new OwnerHarness(UPSTREAMS);
  try {
    await harness.setUp();
    for (let i = 0; i < STEPS; i++) {
      await performAction(harness, random, i, variant);
    }
    for (const each of harness.upstreams) each.delivery = () => 'delivered';
    if (!harness.owner) await harness.startOwner();
    await harness.advanceClock(6_000);
    const {spans} = harness;
    return [...findOverlappingRuns(spans), ...findEarlyRuns(spans)];
  } finally {
    await harness.close();
  }
}

async function performAction(
  harness: OwnerHarness,
  random: SeededRandom,
  index: number,
  {createSteps, uncommittedPercent}: Variant,
): Promise<void> {
  const upstream = harness.upstream(random.nextBelow(UPSTREAMS));
  const action = random.nextBelow(100);
  const durable = random.nextChance(30);
  // Few ids, so that jobs are resubmitted while their runs are active.
  const id = `${durable ? 'd' : 't'}${random.nextBelow(12)}`;
  if (!harness.owner) {
    if (random.nextChance(60)) await harness.startOwner();
  } else if (action < 45) {
    const steps = createSteps(random);
    void (durable
      ? harness.submitDurable(id, steps)
      : harness.submit(id, steps));
    if (uncommittedPercent > 0 && random.nextChance(uncommittedPercent)) {
      await harness.advanceClock(BEFORE_COMMIT_MS);
      harness.kill();
    }
  } else if (action < 55) {
    void harness.call({type: 'abandon', job: id});
  } else if (action < 70) {
    const kind = DELIVERIES[random.nextBelow(DELIVERIES.length)] ?? 'lost';
    const percent = random.nextChance(30) ? 100 : 40;
    upstream.delivery = () => (random.nextChance(percent) ? kind : 'delivered');
  } else if (action < 80) {
    upstream.delivery = () => 'delivered';
  } else if (action < 84) {
    upstream.restart();
    void harness.announce(upstream).catch(() => undefined);
  } else if (action < 90) {
    harness.kill();
  } else {
    upstream.runMs = 20 + random.nextBelow(900);
    upstream.outcome = random.nextChance(15) ? 'failed' : 'done';
  }
  await harness.advanceClock(5 + random.nextBelow(index % 5 === 0 ? 700 : 90));
}

describe('Owner under random faults', () => {
  for (const [seed, cause] of REGRESSIONS) {
    it(`runs no task twice at once, seed ${seed}: ${cause}`, async () => {
      expect(await runWithFaults(seed)).to.deep.equal([]);
    });
  }

  it('runs no task twice at once', async () => {
    const first = Number(process.env['OWNER_SEED'] ?? 1);
    const count = Number(process.env['OWNER_SEEDS'] ?? 60);
    for (let seed = first; seed < first + count; seed++) {
      expect(await runWithFaults(seed), `seed ${seed}`).to.deep.equal([]);
    }
  });

  // Guards against tasks that run beside a run that an earlier owner started,
  // and against tasks that start before the steps that they depend on.
  it('keeps the order of steps, also of jobs whose admission is lost', async () => {
    const first = Number(process.env['OWNER_SEED'] ?? 1);
    const count = Number(process.env['OWNER_SEEDS'] ?? 60);
    for (let seed = first; seed < first + count; seed++) {
      const found = await runWithFaults(seed, DEPENDENT);
      expect(found, `seed ${seed}`).to.deep.equal([]);
    }
  });
});
