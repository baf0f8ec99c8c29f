import {expect} from 'chai';

import {UpstreamSpeed} from '../../src/owner/upstream_speed.js';

describe('UpstreamSpeed', () => {
  it('follows an upstream that turned slow within a few runs', () => {
    const speed = new UpstreamSpeed();
    for (let run = 0; run < 4; run++) speed.observe('slow', 600, 100, run);
    expect(speed.getTimeFactor('slow', 4)).to.be.above(3);
    expect(speed.getTimeFactor('other', 4)).to.be.below(1.2);
  });

  it('lets the estimate of a slow upstream decay, so that a recovery is noticed', () => {
    const speed = new UpstreamSpeed();
    for (let run = 0; run < 8; run++) speed.observe('slow', 600, 100, run);
    expect(speed.getTimeFactor('slow', 60_000)).to.be.below(1.3);
  });

  it('bounds the effect of a single run', () => {
    const speed = new UpstreamSpeed();
    speed.observe('odd', 1e9, 1, 0);
    expect(speed.getTimeFactor('odd', 0)).to.be.below(2.1);
  });

  it('recognizes a slow upstream after two runs, so that a new one is not overused', () => {
    const speed = new UpstreamSpeed();
    for (let run = 0; run < 2; run++) speed.observe('slow', 180, 100, run);
    expect(speed.getTimeFactor('slow', 2)).to.be.within(1.4, 1.8);
  });
});
