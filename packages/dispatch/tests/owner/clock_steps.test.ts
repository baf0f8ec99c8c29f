/** Steps of the time of day of members that lead. */
import {expect} from 'chai';

import {OwnerHarness, step} from '../owner_harness.js';

/** For how long the harness keeps the states of ended jobs. */
const KEEP_ENDED_MS = 60_000;

/** Time in ms after which the states are gone at the latest. */
const EXPIRY_MS = 40_000;

/** Jobs that end one second apart, as expiries are ten seconds apart. */
const IDS = Array.from({length: 10}, (_, i) => `j${i}`);

const STEPS_MS = [7_000, -7_000];

describe('Owner while the time of day steps', () => {
  let harness: OwnerHarness;

  beforeEach(async () => {
    harness = new OwnerHarness(2);
    await harness.setUp();
  });

  afterEach(() => harness.close());

  function stepClock(ms: number): void {
    harness.clock.setSystemTime(Date.now() + ms);
  }

  async function complete(id: string): Promise<void> {
    await harness.waitFor(harness.submitDurable(id));
    await harness.advanceClock(1_000);
    expect(await harness.getJobState(id)).to.equal('completed');
  }

  /** Checks each state until shortly before it may expire. */
  async function expectKept(): Promise<void> {
    await harness.advanceClock(KEEP_ENDED_MS - IDS.length * 1_000 - 500);
    for (const id of IDS) {
      expect(await harness.getJobState(id), id).to.equal('completed');
      await harness.advanceClock(1_000);
    }
    await harness.advanceClock(EXPIRY_MS);
    expect([...harness.state.jobs.keys()]).to.deep.equal([]);
  }

  for (const stepMs of STEPS_MS) {
    // Guards against the state of an ended job that is gone before its time, so
    // that a repeated submission of the job would run it again.
    it(`keeps the states of ended jobs as long as configured, step ${stepMs} ms after their ends`, async () => {
      for (const id of IDS) await complete(id);
      stepClock(stepMs);
      await expectKept();
    });

    it(`keeps the states of jobs that ended during a step by ${stepMs} ms`, async () => {
      stepClock(stepMs);
      for (const id of IDS) await complete(id);
      stepClock(-stepMs);
      await expectKept();
    });

    // Guards against jobs that a new leader takes for late, or for not due yet.
    it(`runs stored jobs under a leader whose time of day is off by ${stepMs} ms`, async () => {
      for (const upstream of harness.upstreams) upstream.runMs = 300;
      const ids = Array.from({length: 20}, (_, i) => `j${i}`);
      const steps = [step(2, {declaredMs: 300})];
      const admitted = ids.map(id => harness.submitDurable(id, steps));
      await harness.waitFor(Promise.all(admitted));
      harness.kill();
      stepClock(stepMs);
      await harness.startOwner();
      const fresh = harness.submit('fresh');
      await harness.advanceClock(15_000);
      for (const id of ids) {
        expect(await harness.getJobState(id), id).to.equal('completed');
      }
      const {type} = await fresh;
      expect(type).to.be.oneOf(['ended', 'refused']);
      const runs = 2 * ids.length + (type === 'ended' ? 1 : 0);
      expect(harness.spans).to.have.length(runs);
    });

    // Guards against callers that are refused, and leases that end, because of
    // the step.
    it(`serves waiting callers during a step by ${stepMs} ms and back`, async () => {
      const replies = [harness.submit('before')];
      stepClock(stepMs);
      replies.push(harness.submit('after'));
      await harness.advanceClock(100);
      stepClock(-stepMs);
      replies.push(harness.submit('back'));
      for (const reply of replies) {
        expect(await harness.waitFor(reply, 1_000)).to.deep.equal({
          type: 'ended',
          state: 'completed',
        });
      }
      expect(harness.spans).to.have.length(3);
    });
  }
});
