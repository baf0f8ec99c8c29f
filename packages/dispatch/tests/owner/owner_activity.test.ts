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

  // Guards against a longest time that hides behind the mean, or replaces it.
  it('sums up each step on its own', () => {
    activity.recordDuration('commit', 10);
    activity.recordDuration('commit', 40.26);
    activity.recordDuration('hold', 7);
    expect(activity.takeReport().steps).to.deep.equal({
      commit: {count: 2, meanMs: 25.1, longestMs: 40},
      hold: {count: 1, meanMs: 7, longestMs: 7},
    });
  });

  // Guards against lines that repeat what an earlier line has told.
  it('starts from nothing after each report', () => {
    activity.count('started');
    activity.recordDuration('pass', 3);
    activity.takeReport();
    activity.count('unanswered');
    expect(activity.takeReport()).to.deep.equal({
      offered: 0,
      examined: 0,
      started: 0,
      startedLate: 0,
      unanswered: 1,
      notSent: 0,
      steps: {},
    });
  });

  // Guards against a second owner of a process that inherits counts.
  it('shares no counts with another owner', () => {
    activity.count('offered');
    expect(new OwnerActivity(metrics).takeReport().offered).to.equal(0);
  });

  // Guards against histograms that only get what a line sums up.
  it('passes each duration on to the metrics', () => {
    activity.recordDuration('start', 4);
    activity.recordDuration('start', 6);
    expect(metrics.timings).to.deep.equal([
      ['owner.start', 4],
      ['owner.start', 6],
    ]);
  });
});
