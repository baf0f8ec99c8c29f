/** Return of a readmitted data centre, and what operators see meanwhile. */
import {expect} from 'chai';

import {RecordingLogger} from '../../../runtime/tests/recording_logger.js';
import {RecordingMetrics} from '../../../runtime/tests/recording_metrics.js';
import type {RunSpan} from '../fake_upstreams.js';
import {OwnerHarness, step} from '../owner_harness.js';

const UPSTREAM_COUNT = 3;
const SLOTS = 8;
const RUN_MS = 60;

describe('Owner with a data centre that is readmitted', () => {
  let harness: OwnerHarness;
  let logger: RecordingLogger;
  let metrics: RecordingMetrics;

  beforeEach(async () => {
    logger = new RecordingLogger();
    metrics = new RecordingMetrics();
    harness = new OwnerHarness(UPSTREAM_COUNT, {logger});
    harness.metrics = metrics;
    for (const upstream of harness.upstreams) upstream.maxRuns = SLOTS;
    await harness.setUp();
  });

  afterEach(() => harness.close());

  /** Submits more work than the upstreams take at once. */
  async function submitLoad(id: string): Promise<readonly RunSpan[]> {
    const before = harness.spans.length;
    const steps = [step(20 * SLOTS, {declaredMs: RUN_MS})];
    await harness.waitFor(harness.submitDurable(id, steps));
    await harness.advanceClock(5_000);
    expect(await harness.getJobState(id)).to.equal('completed');
    return harness.spans.slice(before);
  }

  /** Counts the runs on an upstream that began before any of them ended. */
  function countFirstWave(spans: readonly RunSpan[], upstream: string): number {
    const own = spans.filter(span => span.upstream === upstream);
    const firstEnd = Math.min(...own.map(({to}) => to));
    return own.filter(({from}) => from < firstEnd).length;
  }

  function findHighestLoad(spans: readonly RunSpan[]): number {
    const own = spans.filter(({upstream}) => upstream === 'u0');
    const loads = own.map(
      ({from}) => own.filter(o => o.from <= from && from < o.to).length,
    );
    return Math.max(...loads);
  }

  // Guards against cold upstreams that get all tasks at once, and against a
  // limit that stays.
  it('loads each upstream with one task first, then with more', async () => {
    expect(countFirstWave(await submitLoad('before'), 'u0')).to.equal(SLOTS);
    await harness.evacuate('a');
    await harness.advanceClock(1_000);
    await harness.evacuate('a', false);
    const spans = await submitLoad('after');
    for (const {id} of harness.upstreams) {
      expect(countFirstWave(spans, id)).to.equal(1);
    }
    expect(findHighestLoad(spans)).to.equal(SLOTS);
  });

  // Guards against runs from before the evacuation that count as successes of
  // the return.
  it('does not count runs that began earlier as successes', async () => {
    const steps = [step(3 * SLOTS, {declaredMs: 300})];
    for (const upstream of harness.upstreams) upstream.runMs = 300;
    await harness.waitFor(harness.submitDurable('before', steps));
    await harness.advanceClock(20);
    await harness.evacuate('a');
    await harness.evacuate('a', false);
    await harness.advanceClock(1_000);
    for (const upstream of harness.upstreams) upstream.runMs = RUN_MS;
    expect(countFirstWave(await submitLoad('after'), 'u0')).to.equal(1);
  });

  for (const stepMs of [0, 7_000, -7_000]) {
    // Guards against a new leader that has not seen the readmission and loads
    // the data centre at once, also when its time of day differs.
    it(`returns gradually under a leader that is elected just then, time of day ${stepMs} ms off`, async () => {
      await harness.evacuate('a');
      await harness.evacuate('a', false);
      harness.kill();
      harness.clock.setSystemTime(Date.now() + stepMs);
      await harness.startOwner();
      await harness.advanceClock(50);
      expect(countFirstWave(await submitLoad('after'), 'u0')).to.equal(1);
    });
  }

  // Guards against speeds from before the evacuation that decide afterwards.
  it('forgets the speeds of the upstreams, also for the next leader', async () => {
    harness.upstream(0).runMs = 600;
    for (let n = 0; n < 4; n++) await submitLoad(`slow${n}`);
    await harness.evacuate('a');
    await harness.evacuate('a', false);
    await harness.advanceClock(6_000);
    harness.kill();
    await harness.startOwner();
    await harness.advanceClock(10_000);
    logger.records.length = 0;
    await submitLoad('after');
    const first = new Map<unknown, unknown>();
    for (const {upstream, expectedMs} of logger.of('task-start')) {
      if (!first.has(upstream)) first.set(upstream, expectedMs);
    }
    expect(first.get('u0')).to.equal(first.get('u1'));
  });

  // Guards against an evacuation that operators can't follow.
  it('reports evacuations in logs and gauges', async () => {
    for (const upstream of harness.upstreams) upstream.runMs = 2_000;
    const steps = [step(2, {declaredMs: 2_000})];
    await harness.waitFor(harness.submitDurable('long', steps));
    await harness.advanceClock(20);
    await harness.evacuate('a');
    const getGauges = () =>
      ['active', 'upstreams', 'runs'].map(
        name => metrics.gauges[`evacuations.${name}`],
      );
    expect(getGauges()).to.deep.equal([1, UPSTREAM_COUNT, 2]);
    await harness.advanceClock(4_000);
    expect(getGauges()).to.deep.equal([1, UPSTREAM_COUNT, 0]);
    await harness.evacuate('a', false);
    expect(getGauges()).to.deep.equal([0, 0, 0]);
    expect(logger.of('evacuation-ended')[0]).to.include({
      dataCentre: 'a',
      upstreams: UPSTREAM_COUNT,
      runs: 0,
    });
    await harness.evacuate('a');
    harness.kill();
    expect(getGauges()).to.deep.equal([0, 0, 0]);
  });
});
