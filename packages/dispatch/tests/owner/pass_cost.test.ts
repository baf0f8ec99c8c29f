/** Cost of a start on a large pool. */
import {createLogger, type LogFields} from '@mustardferry/runtime';
import {expect} from 'chai';

import type {ActivityCounts} from '../../src/owner/owner_activity.js';
import {OwnerHarness, step} from '../owner_harness.js';

const UPSTREAMS = 350;

/**
 * Number of jobs of four tasks; these are twice as many as the pool runs at a
 * time.
 */
const QUEUED_JOBS = 350;

/** Reads of the state of each upstream that are allowed per second. */
const READS_PER_S = 40;

describe('Cost of a scheduling pass', () => {
  let harness: OwnerHarness;
  let reports: ActivityCounts[];

  beforeEach(async () => {
    const logger = createLogger('silent');
    reports = [];
    logger.info = (event: string, fields?: LogFields) => {
      if (event !== 'owner-status') return;
      reports.push(fields as unknown as ActivityCounts);
    };
    harness = new OwnerHarness(UPSTREAMS, {logger});
    await harness.setUp();
  });

  afterEach(() => harness.close());

  function sum(field: keyof ActivityCounts): number {
    return reports.reduce((total, report) => total + report[field], 0);
  }

  // Guards against passes over a full pool that examine all upstreams for each
  // queued task.
  it('does not grow with the product of queued tasks and upstreams', async () => {
    for (const upstream of harness.upstreams) upstream.runMs = 50;
    await harness.advanceClock(1_000);
    reports.length = 0;
    const from = performance.now();
    for (let i = 0; i < QUEUED_JOBS; i++) {
      void harness.submitDurable(`j${i}`, [step(4)]);
    }
    await harness.advanceClock(2_000);
    const seconds = (performance.now() - from) / 1_000;
    expect(sum('started')).to.equal(4 * QUEUED_JOBS);
    const reads = READS_PER_S * UPSTREAMS * seconds;
    expect(sum('examined')).to.be.below(2 * sum('offered') + reads);
  });
});
