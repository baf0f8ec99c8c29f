import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {PendingStarts} from '../../src/owner/pending_starts.js';

describe('PendingStarts', () => {
  let clock: Clock;
  let starts: PendingStarts;

  beforeEach(() => {
    clock = fakeTimers.install({toFake: ['performance']});
    starts = new PendingStarts();
  });

  afterEach(() => clock.uninstall());

  it('holds nothing back before the first start', () => {
    expect(starts.mayHaveStartedAfter(performance.now())).to.equal(false);
  });

  it('holds back while it is not known what became of a start', async () => {
    let end: () => void = () => undefined;
    const order = starts.track(() => new Promise(resolve => (end = resolve)));
    clock.tick(500);
    expect(starts.mayHaveStartedAfter(performance.now())).to.equal(true);
    end();
    await order;
    expect(starts.mayHaveStartedAfter(performance.now())).to.equal(false);
  });

  it('holds back until a hold was sent after an answered start', async () => {
    const holdSentAt = performance.now();
    clock.tick(5);
    await starts.track(() => Promise.resolve());
    expect(starts.mayHaveStartedAfter(holdSentAt)).to.equal(true);
    clock.tick(1);
    expect(starts.mayHaveStartedAfter(performance.now())).to.equal(false);
  });

  it('lets go of a start whose order failed', async () => {
    const order = starts.track(() => Promise.reject(new Error('lost')));
    await order.catch(() => undefined);
    clock.tick(1);
    expect(starts.mayHaveStartedAfter(performance.now())).to.equal(false);
  });
});
