import {expect} from 'chai';

import type {Reply} from '../../src/messages/calls.js';
import {OwnerHarness, step} from '../owner_harness.js';

const UPSTREAM_COUNT = 8;

/** Slots on all upstreams but the slow ones. */
const FAST_SLOTS = 8;

const SLOW_RUN_MS = 400;

/**
 * Replays a takeover under load: half of the upstreams are slow, as a quarter
 * of those of the users is, and the next leader gets as many jobs at once as
 * the fast ones take.
 */
describe('Owner after a takeover', () => {
  let harness: OwnerHarness;

  beforeEach(async () => {
    harness = new OwnerHarness(UPSTREAM_COUNT);
    for (let i = 0; i < UPSTREAM_COUNT / 2; i++) {
      harness.upstream(i).runMs = SLOW_RUN_MS;
    }
    await harness.setUp();
    for (let round = 0; round < 4; round++) {
      await submitAll(`before-${round}-`, 2 * FAST_SLOTS);
    }
    await harness.advanceClock(1_100);
    harness.kill();
  });

  afterEach(() => harness.close());

  async function submitAll(prefix: string, count: number): Promise<void> {
    const replies: Promise<Reply>[] = [];
    for (let i = 0; i < count; i++) {
      replies.push(harness.submit(`${prefix}${i}`, [step(1)]));
    }
    await harness.waitFor(Promise.all(replies));
  }

  /** Returns how many runs the next owner starts on slow upstreams. */
  async function takeOver(): Promise<number> {
    await harness.startOwner();
    await harness.advanceClock(50);
    const runsBefore = harness.spans.length;
    await submitAll('after-', FAST_SLOTS);
    return harness.spans.slice(runsBefore).filter(({upstream}) => {
      const index = harness.upstreams.findIndex(({id}) => id === upstream);
      return index < UPSTREAM_COUNT / 2;
    }).length;
  }

  it('starts the first jobs on fast upstreams, by the speeds that it was handed', async () => {
    expect(await takeOver()).to.equal(0);
  });

  // Shows that the load tells a leader that has to learn the speeds again.
  it('starts some on slow upstreams without them', async () => {
    harness.handsOverSpeeds = false;
    expect(await takeOver()).to.be.at.least(1);
  });
});
