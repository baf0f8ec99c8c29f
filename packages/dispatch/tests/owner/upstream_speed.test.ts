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

  it('hands its estimates to the next owner, which goes on from them', () => {
    const speed = new UpstreamSpeed();
    for (let run = 0; run < 4; run++) speed.observe('slow', 300, 100, run);
    const next = new UpstreamSpeed(speed.takeSnapshot());
    const now = performance.now();
    for (const key of ['slow', 'other']) {
      const handed = next.getTimeFactor(key, now);
      expect(handed).to.be.closeTo(speed.getTimeFactor(key, 4), 0.05);
    }
    next.observe('slow', 300, 100, now);
    expect(next.getTimeFactor('slow', now)).to.be.above(2);
  });

  // Guards against discarded speeds that the next owner takes over.
  it('discards estimates, also from the next snapshot', () => {
    const speed = new UpstreamSpeed();
    for (const key of ['cold', 'other']) speed.observe(key, 600, 100, 0);
    speed.takeSnapshot();
    speed.discard(['cold']);
    expect(speed.getTimeFactor('cold', 0)).to.be.below(1.1);
    const keys = speed.takeSnapshot()?.upstreams.map(([key]) => key);
    expect(keys).to.deep.equal(['other']);
  });

  it('takes no snapshot while no run has ended since the last one', () => {
    const speed = new UpstreamSpeed();
    expect(speed.takeSnapshot()).to.equal(null);
    speed.observe('slow', 300, 100, 0);
    expect(speed.takeSnapshot()?.upstreams).to.have.length(1);
    expect(speed.takeSnapshot()).to.equal(null);
  });

  it('recognizes a slow upstream after two runs, so that a new one is not overused', () => {
    const speed = new UpstreamSpeed();
    for (let run = 0; run < 2; run++) speed.observe('slow', 180, 100, run);
    expect(speed.getTimeFactor('slow', 2)).to.be.within(1.4, 1.8);
  });
});
