import {expect} from 'chai';

import {estimateRemainingMs} from '../../src/routing/expected_remaining.js';

describe('estimateRemainingMs', () => {
  it('is the mean before the start and stays finite far in the tail', () => {
    expect(estimateRemainingMs(100, 0.5, 0)).to.be.closeTo(113.3, 0.1);
    expect(estimateRemainingMs(100, 0.5, 1e6)).to.equal(5e5);
  });

  it('decreases while a task is on time, so that no task is hedged early', () => {
    const values = [0, 20, 50, 80].map(ms => estimateRemainingMs(100, 0.3, ms));
    expect([...values].sort((a, b) => b - a)).to.deep.equal(values);
  });
});
