/** No start path leads into an evacuated data centre. */
import {expect} from 'chai';

import {RecordingLogger} from '../../../runtime/tests/recording_logger.js';
import {findOverlappingRuns, type RunSpan} from '../fake_upstreams.js';
import {OwnerHarness, step} from '../owner_harness.js';

/** Longer than a lease, so that it has to be extended. */
const LONG_RUN_MS = 2_500;

describe('Owner with an evacuated data centre', () => {
  let harness: OwnerHarness;
  let logger: RecordingLogger;

  /** The first two upstreams are in data centre a, the others in b. */
  async function setUp(count: number): Promise<void> {
    logger = new RecordingLogger();
    harness = new OwnerHarness(count, {logger});
    for (const upstream of harness.upstreams.slice(2))
      upstream.dataCentre = 'b';
    await harness.setUp();
  }

  afterEach(() => harness.close());

  function findSpansIn(dataCentre: string): readonly RunSpan[] {
    const ids = harness.upstreams
      .filter(upstream => upstream.dataCentre === dataCentre)
      .map(({id}) => id);
    return harness.spans.filter(({upstream}) => ids.includes(upstream));
  }

  /** Makes the upstreams of b refuse tasks, so that the next start is in a. */
  function setRefusals(refuses: boolean): void {
    for (const upstream of harness.upstreams) {
      if (upstream.dataCentre === 'b') upstream.unhealthy = refuses;
    }
  }

  // Guards against a filter that new tasks bypass.
  it('starts new tasks elsewhere', async () => {
    await setUp(4);
    await harness.evacuate('a');
    const replies = Array.from({length: 12}, (_, n) =>
      n % 2 ? harness.submit(`j${n}`) : harness.submitDurable(`j${n}`),
    );
    await harness.waitFor(Promise.all(replies));
    await harness.advanceClock(1_000);
    expect(findSpansIn('a')).to.deep.equal([]);
    expect(harness.spans).to.have.length(12);
  });

  // Guards against restarts of slow runs, which choose an upstream themselves.
  it('restarts no straggler there until it is readmitted', async () => {
    await setUp(3);
    await harness.evacuate('a');
    harness.upstream(2).runMs = 60_000;
    void harness.submitDurable('slow');
    await harness.advanceClock(1_500);
    expect(logger.of('run-restarted')).to.deep.equal([]);
    expect(findSpansIn('a')).to.deep.equal([]);
    await harness.evacuate('a', false);
    await harness.advanceClock(1_500);
    expect(logger.of('run-restarted')).to.have.length(1);
    expect(findSpansIn('a')).to.have.length(1);
  });

  // Guards against a task that avoids the upstream on which it failed, and so
  // fits on evacuated ones only for a moment.
  it('repeats failed tasks elsewhere', async () => {
    await setUp(3);
    await harness.evacuate('a');
    harness.upstream(2).outcome = 'failed';
    const reply = harness.submit('failing');
    await harness.advanceClock(75);
    harness.upstream(2).outcome = 'done';
    expect(await harness.waitFor(reply)).to.deep.equal({
      type: 'ended',
      state: 'completed',
    });
    expect(harness.spans).to.have.length(2);
    expect(findSpansIn('a')).to.deep.equal([]);
  });

  // Guards against tasks of lost runs that restart in the data centre.
  it('repeats lost runs elsewhere', async () => {
    await setUp(4);
    await harness.evacuate('a');
    for (const upstream of harness.upstreams) upstream.runMs = LONG_RUN_MS;
    // Fills both upstreams of b.
    const steps = [step(4, {declaredMs: LONG_RUN_MS})];
    await harness.waitFor(harness.submitDurable('lost', steps));
    harness.upstream(2).delivery = () => 'unreached';
    await harness.advanceClock(4 * LONG_RUN_MS);
    expect(logger.of('run-lost')).to.have.length(2);
    expect(findSpansIn('a')).to.deep.equal([]);
    expect(await harness.getJobState('lost')).to.equal('completed');
    expect(findOverlappingRuns(harness.spans)).to.deep.equal([]);
  });

  // Guards against a new leader that starts tasks before it knows the state.
  it('starts recovered and new tasks elsewhere after a change of leader', async () => {
    await setUp(4);
    await harness.evacuate('a');
    setRefusals(true);
    await harness.waitFor(harness.submitDurable('recovered', [step(4)]));
    harness.kill();
    setRefusals(false);
    await harness.startOwner();
    const reply = harness.submit('new', [step(4)]);
    expect(await harness.waitFor(reply)).to.include({state: 'completed'});
    await harness.advanceClock(2_000);
    expect(await harness.getJobState('recovered')).to.equal('completed');
    expect(findSpansIn('a')).to.deep.equal([]);
    expect(findSpansIn('b')).to.have.length(8);
  });

  // Guards against a start order that was under way and takes effect later.
  it('stops a start that is still under way, and starts the task elsewhere', async () => {
    await setUp(4);
    setRefusals(true);
    for (const upstream of harness.upstreams.slice(0, 2)) {
      upstream.delivery = order => (order === 'start' ? 'late' : 'delivered');
    }
    void harness.submitDurable('late', [step(1, {declaredMs: 30})]);
    await harness.advanceClock(5);
    setRefusals(false);
    await harness.evacuate('a');
    // Well before the start order times out.
    await harness.advanceClock(20);
    expect(findSpansIn('b')).to.have.length(1);
    await harness.advanceClock(10_000);
    expect(logger.of('evacuation-started')[0]).to.include({stopped: 1});
    expect(await harness.getJobState('late')).to.equal('completed');
    expect(findSpansIn('a')).to.deep.equal([]);
    expect(findSpansIn('b')).to.have.length(1);
  });

  // Guards against a second run beside one that began without an answer.
  it('stops a run that began unnoticed before it starts the task elsewhere', async () => {
    await setUp(4);
    setRefusals(true);
    for (const upstream of harness.upstreams.slice(0, 2)) {
      upstream.runMs = LONG_RUN_MS;
      upstream.delivery = order =>
        order === 'start' ? 'answer-lost' : 'unreached';
    }
    void harness.submitDurable('unnoticed');
    await harness.advanceClock(5);
    setRefusals(false);
    await harness.evacuate('a');
    for (const upstream of harness.upstreams) {
      upstream.delivery = () => 'delivered';
    }
    await harness.advanceClock(1_000);
    expect(findSpansIn('a').map(({outcome}) => outcome)).to.deep.equal([
      'stopped',
    ]);
    expect(findSpansIn('b').map(({outcome}) => outcome)).to.deep.equal([
      'done',
    ]);
    expect(findOverlappingRuns(harness.spans)).to.deep.equal([]);
    expect(await harness.getJobState('unnoticed')).to.equal('completed');
  });

  // Guards against confirmed runs that are stopped, or whose leases expire.
  it('lets confirmed runs end', async () => {
    await setUp(4);
    for (const upstream of harness.upstreams) upstream.runMs = LONG_RUN_MS;
    const steps = [step(8, {declaredMs: LONG_RUN_MS})];
    await harness.waitFor(harness.submitDurable('running', steps));
    await harness.advanceClock(100);
    await harness.evacuate('a');
    await harness.advanceClock(2 * LONG_RUN_MS);
    expect(harness.spans).to.have.length(8);
    expect(harness.spans.every(({outcome}) => outcome === 'done')).to.equal(
      true,
    );
    expect(await harness.getJobState('running')).to.equal('completed');
    expect(logger.of('evacuation-started')[0]).to.include({
      dataCentre: 'a',
      upstreams: 2,
      runs: 4,
      stopped: 0,
    });
  });
});
