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

  it('reports no pending start before the first one', () => {
    expect(starts.mayHaveStartedAfter(performance.now())).to.equal(false);
  });

  it('reports a start while its outcome is unknown', async () => {
    let end: () => void = () => undefined;
    const order = starts.track(() => new Promise(resolve => (end = resolve)));
    clock.tick(500);
    expect(starts.mayHaveStartedAfter(performance.now())).to.equal(true);
    end();
    await order;
    expect(starts.mayHaveStartedAfter(performance.now())).to.equal(false);
  });

  it('reports an answered start until a later hold was sent', async () => {
    const holdSentAt = performance.now();
    clock.tick(5);
    await starts.track(() => Promise.resolve());
    expect(starts.mayHaveStartedAfter(holdSentAt)).to.equal(true);
    clock.tick(1);
    expect(starts.mayHaveStartedAfter(performance.now())).to.equal(false);
  });

  it('does not report a failed start after a later hold was sent', async () => {
    const order = starts.track(() => Promise.reject(new Error('lost')));
    await order.catch(() => undefined);
    clock.tick(1);
    expect(starts.mayHaveStartedAfter(performance.now())).to.equal(false);
  });
});
