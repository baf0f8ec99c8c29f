import {createLogger} from '@mustardferry/runtime';
import {expect} from 'chai';

import {DispatchState} from '../../src/jobs/dispatch_state.js';
import {getTaskKey, type TaskId} from '../../src/jobs/job_types.js';
import {DiscardedRuns} from '../../src/owner/discarded_runs.js';
import type {JobTable} from '../../src/owner/job_table.js';
import type {OpenJob, OpenTask} from '../../src/owner/job_table_types.js';
import {OrphanedRuns} from '../../src/owner/orphaned_runs.js';
import type {UpstreamSession} from '../../src/owner/upstream_session.js';
import type {RunEnd} from '../../src/upstreams/upstream_port.js';
import {OwnerHarness, step} from '../owner_harness.js';

const TASK: TaskId = {job: 'job', step: 0, index: 0};
const KEY = getTaskKey(TASK);

/** Records the runs that are stopped. */
class FakeSession {
  readonly stopped: number[] = [];
  readonly record: {readonly id: string};

  constructor(name: string) {
    this.record = {id: name};
  }

  forbidRun({run}: {readonly run: number}): Promise<void> {
    this.stopped.push(run);
    return Promise.resolve();
  }

  asSession(): UpstreamSession {
    return this as unknown as UpstreamSession;
  }
}

function createEnd(run: number): RunEnd {
  return {sequence: 1, task: TASK, run, outcome: 'stopped'};
}

describe('OrphanedRuns', () => {
  let requeued: string[];
  let task: OpenTask;
  let orphanedRuns: OrphanedRuns;
  let a: FakeSession;
  let b: FakeSession;

  beforeEach(() => {
    requeued = [];
    a = new FakeSession('a');
    b = new FakeSession('b');
    task = {
      id: TASK,
      key: KEY,
      phase: 'ready',
      lastRunNumber: 0,
    } as unknown as OpenTask;
    const open: {task?: OpenTask} = {};
    const jobTable = {
      task: () => open.task,
      requeue: (each: OpenTask) => requeued.push(each.key),
    } as unknown as JobTable;
    orphanedRuns = new OrphanedRuns({
      jobTable,
      state: new DispatchState(),
      discardedRuns: new DiscardedRuns(),
      logger: createLogger('silent'),
      isRecoveryComplete: () => true,
    });
    orphanedRuns.handleListedRun(a.asSession(), {
      task: TASK,
      run: 3,
      percent: 0,
    });
    open.task = task;
  });

  function submitAgain(): void {
    orphanedRuns.adoptOrphansOf({tasks: [[task]]} as unknown as OpenJob);
  }

  // Guards against a task that starts beside its orphaned run.
  it('keeps a task held after the end of another of its runs', () => {
    submitAgain();
    expect(task.phase).to.equal('held');
    orphanedRuns.ended(b.asSession(), createEnd(3));
    orphanedRuns.ended(a.asSession(), createEnd(1));
    expect(requeued).to.deep.equal([]);
    orphanedRuns.ended(a.asSession(), createEnd(3));
    expect(requeued).to.deep.equal([KEY]);
  });

  it('stops all orphaned runs of a task, and waits for all of them', () => {
    submitAgain();
    orphanedRuns.handleListedRun(b.asSession(), {
      task: TASK,
      run: 4,
      percent: 0,
    });
    expect([a.stopped, b.stopped]).to.deep.equal([[3], [4]]);
    orphanedRuns.ended(a.asSession(), createEnd(3));
    expect(requeued).to.deep.equal([]);
    orphanedRuns.removeSession(b.asSession());
    expect(requeued).to.deep.equal([KEY]);
  });
});

describe('Owner after the loss of an answer', () => {
  let harness: OwnerHarness;

  beforeEach(async () => {
    harness = new OwnerHarness(1);
    harness.upstream(0).runMs = 3_000;
    await harness.setUp();
  });

  afterEach(() => harness.close());

  // Guards against a caller that is told that its job has not run, though an
  // earlier leader had started it for another gateway.
  it('does not refuse a job whose runs an upstream lists', async () => {
    const steps = [step(2, {declaredMs: 400})];
    void harness.submit('job', steps);
    await harness.advanceClock(50);
    expect(harness.spans).to.have.length(2);
    harness.kill();
    await harness.startOwner();
    await harness.advanceClock(100);
    for (let i = 0; i < 20; i++) void harness.submit(`other${i}`, steps);
    await harness.advanceClock(20);
    const reply = await harness.waitFor(
      harness.call({
        type: 'submit',
        host: 'host',
        path: '/q/job',
        patienceMs: 1_500,
        job: {id: 'job', payload: 'text', steps, durable: false},
      }),
    );
    expect(reply.type).to.not.equal('refused');
  });
});
