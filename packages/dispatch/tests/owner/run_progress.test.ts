import {expect} from 'chai';

import {RunProgress} from '../../src/owner/run_progress.js';

function begun(clockMs = 0): RunProgress {
  const progress = new RunProgress();
  progress.recordStart(clockMs);
  return progress;
}

describe('RunProgress', () => {
  it('projects the rest from the progress since the last report', () => {
    const progress = begun();
    progress.recordReport(20, 100);
    expect(progress.remainingMs).to.equal(400);
    progress.recordReport(70, 200);
    expect(progress.remainingMs).to.equal(60);
  });

  it('tells a standstill after earlier progress', () => {
    const progress = begun();
    progress.recordReport(60, 100);
    progress.recordReport(60, 200);
    expect(progress.remainingMs).to.equal(Infinity);
  });

  it('does not judge a span that is too short to show progress', () => {
    const progress = begun();
    progress.recordReport(0, 40);
    expect(progress.remainingMs).to.equal(null);
  });

  it('judges no run by the time before its first report', () => {
    const progress = new RunProgress();
    progress.recordReport(40, 500);
    expect(progress.remainingMs).to.equal(null);
    progress.recordReport(80, 600);
    expect(progress.remainingMs).to.equal(50);
  });

  it('tells the run time between the start and the list with the end', () => {
    expect(begun(100).measureRunMs(160, 90)).to.equal(60);
  });

  it('tells no run time where the end may have been long before its list', () => {
    expect(begun(100).measureRunMs(400, 110)).to.equal(null);
    expect(new RunProgress().measureRunMs(400, 390)).to.equal(null);
  });
});
