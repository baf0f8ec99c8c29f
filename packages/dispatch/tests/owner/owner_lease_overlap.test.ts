import {expect} from 'chai';

import {OwnerHarness, step} from '../owner_harness.js';

/** Lease of the earlier leader that its successor may not wait for, in ms. */
const EARLIER_LEASE_MS = 600;

const RUN_MS = 2_000;

/**
 * The connections to a leader are reset, and the voters elect the next one at
 * once. One upstream is reached only by the earlier leader, which doesn't know
 * yet and still holds its lease.
 */
describe('Owner elected during the lease of an earlier leader', () => {
  let harness: OwnerHarness;

  beforeEach(async () => {
    harness = new OwnerHarness(2);
    await harness.setUp();
  });

  afterEach(() => harness.close());

  // Guards against a task that both leaders have started around a hand-over.
  it('starts no task that the earlier leader may just have started', async () => {
    const isolated = harness.upstream(0);
    for (const upstream of harness.upstreams) {
      upstream.runMs = RUN_MS;
      upstream.delivery = () => 'unreached';
    }
    await harness.waitFor(harness.submitDurable('job', [step(1)]));
    harness.kill();

    isolated.delivery = () => 'lost';
    harness.upstream(1).delivery = () => 'delivered';
    harness.earlierLeaseMs = EARLIER_LEASE_MS;
    await harness.startOwner();
    await harness.advanceClock(EARLIER_LEASE_MS - 20);
    const leaseUntil = isolated.clockMs + 700;
    const {type} = isolated.start({
      token: isolated.token,
      timeoutMs: 80,
      task: {job: 'job', step: 0, index: 0},
      run: 1,
      payload: 'text',
      leaseUntil,
    });
    expect(type).to.equal('started');
    await harness.advanceClock(2_000);

    const [first, second] = harness.spans;
    expect(first?.upstream).to.equal(isolated.id);
    expect(second?.upstream).to.equal(harness.upstream(1).id);
    expect(second?.from).to.be.at.least(first?.to ?? Infinity);
  });
});
