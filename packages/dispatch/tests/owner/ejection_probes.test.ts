/** Probes of ejected upstreams that end without a result. */
import {expect} from 'chai';

import {RecordingLogger} from '../../../runtime/tests/recording_logger.js';
import {OwnerHarness, step} from '../owner_harness.js';

/** Longer than the first interval between probes, which is a second. */
const PROBE_WAIT_MS = 1_200;

describe('Owner with an ejected upstream', () => {
  let harness: OwnerHarness;
  let logger: RecordingLogger;

  beforeEach(async () => {
    logger = new RecordingLogger();
    harness = new OwnerHarness(2, {logger});
    await harness.setUp();
  });

  afterEach(() => harness.close());

  /** Fails runs on u0 until it is ejected. */
  async function ejectFirst(): Promise<void> {
    harness.upstream(0).outcome = 'failed';
    for (let i = 0; i < 4; i++) {
      await harness.waitFor(harness.submit(`eject${i}`, [step(4)]));
    }
    harness.upstream(0).outcome = 'done';
    const states = logger.of('upstream-ejection').map(line => line['state']);
    expect(states).to.deep.equal(['ejected']);
  }

  async function runsOnFirst(id: string): Promise<boolean> {
    const before = harness.spans.length;
    await harness.waitFor(harness.submitDurable(id, [step(12)]));
    await harness.advanceClock(3_000);
    return harness.spans.slice(before).some(s => s.upstream === 'u0');
  }

  /** Ways in which a probe ends without a result. */
  const losses: Record<string, () => Promise<void>> = {
    'its caller leaves': async () => {
      harness.upstream(0).runMs = 5_000;
      void harness.submit('probe', [step(4, {declaredMs: 400})]);
      await harness.advanceClock(100);
      await harness.call({type: 'abandon', job: 'probe'});
      harness.upstream(0).runMs = 60;
    },
    'the upstream refuses it': async () => {
      harness.upstream(0).unhealthy = true;
      await harness.waitFor(harness.submit('probe', [step(4)]));
      harness.upstream(0).unhealthy = false;
    },
  };

  for (const [loss, loseProbe] of Object.entries(losses)) {
    // Guards against an upstream that stays ejected for good.
    it(`probes it again when ${loss}`, async () => {
      await ejectFirst();
      await harness.advanceClock(PROBE_WAIT_MS);
      const starts = logger.of('task-start').length;
      await loseProbe();
      const probes = logger.of('task-start').slice(starts);
      expect(probes.map(line => line['upstream'])).to.include('u0');
      await harness.advanceClock(PROBE_WAIT_MS);
      expect(await runsOnFirst('after')).to.equal(true);
    });
  }
});
