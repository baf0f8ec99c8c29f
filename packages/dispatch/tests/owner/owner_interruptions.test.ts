/** Short interruptions of an owner or its upstreams, as callers see them. */
import {expect} from 'chai';

import {FakeUpstream} from '../fake_upstreams.js';
import {OwnerHarness, step} from '../owner_harness.js';

describe('Owner during short interruptions', () => {
  let harness: OwnerHarness;

  async function setUp(upstreams: number): Promise<void> {
    harness = new OwnerHarness(upstreams);
    await harness.setUp();
    await harness.advanceClock(1_010);
  }

  afterEach(() => harness.close());

  for (const pausedMs of [5, 100]) {
    // Guards against a pass that a pause prevents until the next sweep.
    it(`starts a job within 50 ms after a pause of ${pausedMs} ms`, async () => {
      await setUp(2);
      const reply = harness.submit('a');
      harness.paused = true;
      await harness.advanceClock(pausedMs);
      harness.paused = false;
      await harness.advanceClock(50);
      expect(harness.spans).to.have.length(1);
      expect(await harness.waitFor(reply)).to.deep.equal({
        type: 'ended',
        state: 'completed',
      });
    });
  }

  // The run has started, but its upstream is replaced before the owner knows.
  it('does not report a job as never run when its start had no answer', async () => {
    await setUp(1);
    const upstream = harness.upstream(0);
    upstream.runMs = 400;
    upstream.delivery = kind => {
      if (kind === 'start') return 'answer-lost';
      return kind === 'hold' ? 'lost' : 'delivered';
    };
    const steps = [step(1, {declaredMs: 400})];
    const reply = harness.submit('a', steps);
    await harness.advanceClock(10);
    const next = new FakeUpstream('next', upstream.address, harness.spans);
    await harness.announce(next, true);
    expect(harness.spans).to.have.length(1);
    expect((await harness.waitFor(reply)).type).to.equal('given-up');
  });

  // Guards against capacity that counts as lost while nine holds are lost.
  it('refuses no job because upstreams missed one hold each', async () => {
    await setUp(10);
    for (const each of harness.upstreams) each.runMs = 200;
    const replies: string[] = [];
    const submit = (id: string) => {
      void harness
        .submit(id, [step(1, {declaredMs: 200})])
        .then(({type}) => replies.push(type));
    };
    for (let i = 0; i < 20; i++) submit(`a${i}`);
    await harness.advanceClock(5);
    for (let i = 0; i < 12; i++) submit(`b${i}`);
    for (const each of harness.upstreams.slice(1)) {
      let isFirst = true;
      each.delivery = kind => {
        if (kind !== 'hold' || !isFirst) return 'delivered';
        isFirst = false;
        return 'lost';
      };
    }
    await harness.advanceClock(3_000);
    expect(replies).to.have.length(32);
    expect(replies.filter(type => type === 'refused')).to.deep.equal([]);
  });
});
