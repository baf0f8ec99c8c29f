import {expect} from 'chai';

import {RecordingMetrics} from '../../../runtime/tests/recording_metrics.js';
import {OwnerActivity} from '../../src/owner/owner_activity.js';

describe('OwnerActivity', () => {
  let metrics: RecordingMetrics;
  let activity: OwnerActivity;

  beforeEach(() => {
    metrics = new RecordingMetrics();
    activity = new OwnerActivity(metrics);
  });

  // Guards against a maximum that is averaged away or reported as the mean.
  it('summarizes each step separately', () => {
    activity.recordDuration('commit', 10);
    activity.recordDuration('commit', 40.26);
    activity.recordOrder('hold', 7);
    expect(activity.takeReport().steps).to.deep.equal({
      commit: {count: 2, meanMs: 25.1, longestMs: 40},
      hold: {count: 1, meanMs: 7, longestMs: 7},
    });
  });

  // Guards against work that is reported twice.
  it('starts from zero after each report', () => {
    activity.count('started');
    activity.recordDuration('pass', 3);
    activity.takeReport();
    activity.count('unanswered');
    const {cpuMs, ...counts} = activity.takeReport();
    expect(cpuMs).to.be.within(0, performance.now());
    expect(counts).to.deep.equal({
      offered: 0,
      examined: 0,
      started: 0,
      startedLate: 0,
      unanswered: 1,
      notSent: 0,
      steps: {},
    });
  });

  // Guards against counts that carry over to the next owner of a process.
  it('shares no counts with another owner', () => {
    activity.count('offered');
    expect(new OwnerActivity(metrics).takeReport().offered).to.equal(0);
  });

  // Guards against histograms that receive summaries only.
  it('passes each duration on to the metrics', () => {
    activity.recordOrder('start', 4);
    activity.recordOrder('start', 6);
    expect(metrics.timings).to.deep.equal([
      ['owner.start', 4],
      ['owner.start', 6],
    ]);
  });
});
