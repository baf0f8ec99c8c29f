/** Metrics that an owner reports. */
import {expect} from 'chai';

import {RecordingMetrics} from '../../../runtime/tests/recording_metrics.js';
import {OwnerHarness, step} from '../owner_harness.js';

describe('Owner', () => {
  let harness: OwnerHarness;
  let metrics: RecordingMetrics;

  beforeEach(async () => {
    harness = new OwnerHarness(1);
    metrics = new RecordingMetrics();
    harness.metrics = metrics;
    await harness.setUp();
    harness.upstream(0).runMs = 5_000;
  });

  afterEach(() => harness.close());

  // Guards against a backlog that shows in log lines only.
  it('reports open jobs, ready tasks and runs each second', async () => {
    void harness.submit('a', [step(3)]);
    await harness.advanceClock(1_000);
    expect(metrics.gauges).to.deep.equal({
      'owner.open_jobs': 1,
      'owner.ready_tasks': 1,
      'owner.runs': 2,
    });
  });

  // Guards against gauges that keep their values after a loss of leadership.
  it('reports zeros once it is closed', async () => {
    void harness.submit('a', [step(3)]);
    await harness.advanceClock(1_000);
    harness.kill();
    expect(Object.values(metrics.gauges)).to.deep.equal([0, 0, 0]);
  });
});
