import {expect} from 'chai';

import {RunProgress} from '../../src/owner/run_progress.js';

describe('RunProgress', () => {
  it('projects the rest from the progress since the last report', () => {
    const progress = new RunProgress(0);
    progress.observe(20, 100);
    expect(progress.remainingMs).to.equal(400);
    progress.observe(70, 200);
    expect(progress.remainingMs).to.equal(60);
  });

  it('tells a standstill after earlier progress', () => {
    const progress = new RunProgress(0);
    progress.observe(60, 100);
    progress.observe(60, 200);
    expect(progress.remainingMs).to.equal(Infinity);
  });

  it('does not judge a span that is too short to show progress', () => {
    const progress = new RunProgress(0);
    progress.observe(0, 40);
    expect(progress.remainingMs).to.equal(null);
  });
});
