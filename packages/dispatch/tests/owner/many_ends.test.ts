import {expect} from 'chai';

import {OwnerHarness, step} from '../owner_harness.js';

const TASKS = 12;
const RUN_MS = 200;
const STEPS = [step(TASKS, {cpuMillis: 10, declaredMs: RUN_MS})];

/** More ends than an upstream lists at a time must not hide the others. */
describe('Owner with more run ends than an upstream lists at a time', () => {
  let harness: OwnerHarness;

  beforeEach(async () => {
    harness = new OwnerHarness(2);
    for (const upstream of harness.upstreams) {
      upstream.maxRuns = TASKS;
      upstream.maxListedEnds = 3;
      upstream.runMs = RUN_MS;
    }
    await harness.setUp();
  });

  afterEach(() => harness.close());

  /** Runs of tasks that had already ended as done. */
  function findRepeatedTasks(): string[] {
    const done = harness.spans.filter(({outcome}) => outcome === 'done');
    return done
      .filter(first =>
        harness.spans.some(
          ({task, from}) => task === first.task && from >= first.to,
        ),
      )
      .map(({task}) => task);
  }

  // Guards against tasks that run again while their `done` is not listed yet.
  it('runs no task again whose end is not listed yet', async () => {
    await harness.waitFor(harness.submitDurable('job', STEPS));
    await harness.advanceClock(3_000);
    expect(findRepeatedTasks()).to.deep.equal([]);
    expect(await harness.getJobState('job')).to.equal('completed');
  });

  // Guards against a new leader that starts tasks again that were done before.
  it('a new owner starts no task before all ends are listed', async () => {
    await harness.waitFor(harness.submitDurable('job', STEPS));
    await harness.advanceClock(RUN_MS / 2);
    harness.kill();
    await harness.advanceClock(RUN_MS);
    await harness.startOwner();
    await harness.advanceClock(3_000);
    expect(findRepeatedTasks()).to.deep.equal([]);
    expect(await harness.getJobState('job')).to.equal('completed');
  });

  it('a new owner waits for the ends beyond the leases of earlier owners', async () => {
    await harness.waitFor(harness.submitDurable('job', STEPS));
    await harness.advanceClock(RUN_MS / 2);
    harness.kill();
    await harness.advanceClock(RUN_MS);
    for (const upstream of harness.upstreams) upstream.maxListedEnds = 1;
    let holds = 0;
    harness.upstream(0).delivery = order =>
      order === 'hold' && ++holds % 4 !== 0 ? 'lost' : 'delivered';
    await harness.startOwner();
    await harness.advanceClock(30_000);
    expect(findRepeatedTasks()).to.deep.equal([]);
    expect(await harness.getJobState('job')).to.equal('completed');
  });
});
