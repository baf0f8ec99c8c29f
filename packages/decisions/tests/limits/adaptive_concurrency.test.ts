import {expect} from 'chai';
import fc from 'fast-check';

import {AdaptiveConcurrency} from '../../src/limits/adaptive_concurrency.js';

describe('AdaptiveConcurrency', () => {
  it('stays between 1 and the slots for any samples', () => {
    const sample = fc.record({
      slowdown: fc.double({noNaN: true}),
      refused: fc.boolean(),
      running: fc.nat(20),
    });
    fc.assert(
      fc.property(fc.array(sample), samples => {
        const concurrency = new AdaptiveConcurrency(8);
        for (const [index, each] of samples.entries())
          concurrency.observe(each, index * 50);
        expect(concurrency.limit).to.be.within(1, 8);
      }),
      {seed: 7},
    );
  });

  it('shrinks when runs slow down and recovers with them', () => {
    const concurrency = new AdaptiveConcurrency(8);
    const observeSlowdown = (slowdown: number, times: number) => {
      for (let n = 0; n < times; n++)
        concurrency.observe({slowdown, refused: false, running: 8}, n);
      return concurrency.limit;
    };
    expect(observeSlowdown(1, 50)).to.equal(8);
    expect(observeSlowdown(8, 10)).to.be.below(5);
    expect(observeSlowdown(1, 100)).to.equal(8);
  });

  it('counts refusals in quick succession once', () => {
    const concurrency = new AdaptiveConcurrency(10);
    for (let n = 0; n < 20; n++)
      concurrency.observe({slowdown: 1, refused: true, running: 10}, n);
    expect(concurrency.limit).to.equal(7);
  });
});
