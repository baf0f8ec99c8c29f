import {expect} from 'chai';

import {UpstreamSpeed} from '../../src/owner/upstream_speed.js';

describe('UpstreamSpeed', () => {
  it('follows an upstream that turned slow within a few runs', () => {
    const speed = new UpstreamSpeed();
    for (let run = 0; run < 4; run++) speed.observe('slow', 600, 100, run);
    expect(speed.timeFactorOf('slow', 4)).to.be.above(3);
    expect(speed.timeFactorOf('other', 4)).to.be.below(1.2);
  });

  it('forgets slowness with time, so that a recovery can be seen', () => {
    const speed = new UpstreamSpeed();
    for (let run = 0; run < 8; run++) speed.observe('slow', 600, 100, run);
    expect(speed.timeFactorOf('slow', 60_000)).to.be.below(1.3);
  });

  it('bounds what a single run can teach', () => {
    const speed = new UpstreamSpeed();
    speed.observe('odd', 1e9, 1, 0);
    expect(speed.timeFactorOf('odd', 0)).to.be.below(2.1);
  });

  it('tells a slow upstream from others after two runs, so that a new one is not used blindly', () => {
    const speed = new UpstreamSpeed();
    for (let run = 0; run < 2; run++) speed.observe('slow', 180, 100, run);
    expect(speed.timeFactorOf('slow', 2)).to.be.within(1.4, 1.8);
  });
});
