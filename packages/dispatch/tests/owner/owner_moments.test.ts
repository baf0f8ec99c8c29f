/** Short interruptions of an owner or its upstreams, as callers see them. */
import {expect} from 'chai';

import {OwnerHarness} from '../owner_harness.js';

describe('Owner at short interruptions', () => {
  let harness: OwnerHarness;

  async function begin(upstreams: number): Promise<void> {
    harness = new OwnerHarness(upstreams);
    await harness.begin();
    await harness.advance(1_010);
  }

  afterEach(() => harness.close());

  for (const pausedMs of [5, 100]) {
    // A pass that a pause had prevented was not made up for until the sweep.
    it(`starts a job within 50 ms after a pause of ${pausedMs} ms`, async () => {
      await begin(2);
      const reply = harness.submit('a');
      harness.paused = true;
      await harness.advance(pausedMs);
      harness.paused = false;
      await harness.advance(50);
      expect(harness.spans).to.have.length(1);
      expect(await harness.settled(reply)).to.deep.equal({
        type: 'ended',
        state: 'completed',
      });
    });
  }
});
