import {expect} from 'chai';

import {RunProgress} from '../../src/owner/run_progress.js';

function startedProgress(clockMs = 0): RunProgress {
  const progress = new RunProgress();
  progress.recordStart(clockMs);
  return progress;
}

describe('RunProgress', () => {
  it('projects the remaining time from the progress since the last report', () => {
    const progress = startedProgress();
    progress.recordReport(20, 100);
    expect(progress.remainingMs).to.equal(400);
    progress.recordReport(70, 200);
    expect(progress.remainingMs).to.equal(60);
  });

  it('detects a stall after earlier progress', () => {
    const progress = startedProgress();
    progress.recordReport(60, 100);
    progress.recordReport(60, 200);
    expect(progress.remainingMs).to.equal(Infinity);
  });

  it('ignores a span that is too short to show progress', () => {
    const progress = startedProgress();
    progress.recordReport(0, 40);
    expect(progress.remainingMs).to.equal(null);
  });

  it('ignores the time before the first report of an adopted run', () => {
    const progress = new RunProgress();
    progress.recordReport(40, 500);
    expect(progress.remainingMs).to.equal(null);
    progress.recordReport(80, 600);
    expect(progress.remainingMs).to.equal(50);
  });

  it('measures the run time from the start to the list with the end', () => {
    expect(startedProgress(100).measureRunMs(160, 90)).to.equal(60);
  });

  it('measures no run time when the end may have been long before its list', () => {
    expect(startedProgress(100).measureRunMs(400, 110)).to.equal(null);
    expect(new RunProgress().measureRunMs(400, 390)).to.equal(null);
  });
});
