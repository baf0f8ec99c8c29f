import {expect} from 'chai';
import prand from 'pure-rand';

import {OwnerHarness, step} from '../owner_harness.js';

const UPSTREAM_COUNT = 40;
const SEED = 11;

/** Part of the orders that upstreams leave unanswered and carry out late. */
const LATE_FRACTION = 0.055;

const RUN_MS = 40;

/** Objective of the queue for tasks of `RUN_MS`: stretch 2, and 60 ms more. */
const OBJECTIVE_MS = 2 * RUN_MS + 60;

const JOB_COUNT = 200;
const TASKS_PER_JOB = 8;

/**
 * Replays upstreams that leave a part of the starts unanswered and carry them
 * out seconds later, under jobs of many short tasks: more than a third of the
 * jobs have a task whose start is lost.
 */
describe('Owner with starts that get no answer', () => {
  let harness: OwnerHarness;

  beforeEach(async () => {
    harness = new OwnerHarness(UPSTREAM_COUNT);
    for (const upstream of harness.upstreams) upstream.runMs = RUN_MS;
    await harness.setUp();
  });

  afterEach(() => harness.close());

  it('serves nearly all jobs in time', async () => {
    const rng = prand.xoroshiro128plus(SEED);
    const isLate = () =>
      prand.unsafeUniformIntDistribution(0, 999, rng) < LATE_FRACTION * 1_000;
    const steps = [step(TASKS_PER_JOB, {declaredMs: RUN_MS})];
    const submit = async (id: string): Promise<number> => {
      const from = performance.now();
      const reply = await harness.submit(id, steps);
      return reply.type === 'ended' ? performance.now() - from : Infinity;
    };
    for (let i = 0; i < 20; i++) await harness.waitFor(submit(`calm-${i}`));
    for (const upstream of harness.upstreams) {
      upstream.delivery = order =>
        order === 'start' && isLate() ? 'late' : 'delivered';
    }
    const replies: Promise<number>[] = [];
    for (let i = 0; i < JOB_COUNT; i++) {
      replies.push(submit(`job-${i}`));
      await harness.advanceClock(20);
    }
    const times = await harness.waitFor(Promise.all(replies));
    const inTime = times.filter(ms => ms <= OBJECTIVE_MS).length;
    expect(inTime).to.be.at.least(0.9 * JOB_COUNT, `seed ${SEED}`);
  });
});
