/** Choice of the upstream for a task. */
import {OutlierEjection} from '@mustardferry/decisions';
import {must} from '@mustardferry/model';
import {NullMetrics} from '@mustardferry/runtime';
import {expect} from 'chai';

import type {Step} from '../../src/jobs/job_types.js';
import {JobTable} from '../../src/owner/job_table.js';
import type {OpenTask} from '../../src/owner/job_table_types.js';
import {OwnerActivity} from '../../src/owner/owner_activity.js';
import {PlacementPolicy} from '../../src/owner/placement.js';
import {PoolIndex} from '../../src/owner/pool_index.js';
import {RunTable} from '../../src/owner/run_table.js';
import type {UpstreamSession} from '../../src/owner/upstream_session.js';
import {UpstreamSpeed} from '../../src/owner/upstream_speed.js';
import {toUpstreamRecord} from '../../src/upstreams/upstream_types.js';
import {FakeUpstream} from '../fake_upstreams.js';
import {QUEUE, step} from '../owner_harness.js';

const NOW = 1_000;

/** Number of runs after which the estimated time factor has converged. */
const LEARNING_RUNS = 50;

/**
 * Creates a task with a declared run time of 100 ms and an objective of 260 ms.
 */
function createTask(fields: Partial<Step> = {}): OpenTask {
  const job = new JobTable().admit(
    {
      id: 'a',
      payload: '',
      steps: [step(1, {declaredMs: 100, ...fields})],
      durable: false,
      queue: 'q',
      pool: 'pool',
      maxAttempts: 2,
      admittedAt: 0,
      term: 1,
    },
    QUEUE,
    {receivedAt: NOW, isNew: true, deadlineAt: Infinity},
    () => undefined,
  );
  return must(job.tasks[0]?.[0], 'no task');
}

describe('PlacementPolicy', () => {
  let speed: UpstreamSpeed;
  let pool: PoolIndex;
  let policy: PlacementPolicy;

  beforeEach(() => {
    speed = new UpstreamSpeed();
    pool = new PoolIndex(speed, new OwnerActivity(new NullMetrics()));
    policy = new PlacementPolicy(new OutlierEjection(), 2);
  });

  function addUpstream(
    id: string,
    factor: number,
    labels: readonly string[] = [],
  ): UpstreamSession {
    const upstream = new FakeUpstream(id, `${id}:1`, []);
    const record = {...toUpstreamRecord(upstream.announcement(1)), labels};
    const session = {
      key: id,
      record,
      runs: new RunTable(record),
      acceptsRuns: true,
      countsAsCapacity: true,
      noRoomUntil: 0,
    } as unknown as UpstreamSession;
    for (let i = 0; i < LEARNING_RUNS; i++) {
      speed.observe(id, 100 * factor, 100, NOW);
    }
    pool.add(session);
    return session;
  }

  function chooseUpstreamKey(task: OpenTask): string | undefined {
    pool.refresh(NOW);
    return policy.chooseUpstream(task, {pool, now: NOW})?.session.key;
  }

  /** Adds fully used upstreams: four for each free one that a test adds. */
  function makeScarce(): void {
    for (let i = 0; i < 12; i++) {
      addUpstream(`full${i}`, 1).runs.capacityUse.add(
        step(1, {cpuMillis: 2_000}),
      );
    }
  }

  it('prefers the fastest upstream while capacity is plentiful', () => {
    addUpstream('slow', 1.6);
    addUpstream('fast', 0.6);
    expect(chooseUpstreamKey(createTask())).to.equal('fast');
  });

  it('keeps fast upstreams free while capacity is scarce', () => {
    makeScarce();
    addUpstream('slow', 1.6);
    addUpstream('fast', 0.6);
    expect(chooseUpstreamKey(createTask())).to.equal('slow');
  });

  // Guards against long tasks on upstreams where they are late once they take a
  // little longer than expected.
  it('leaves time for a run that takes a quarter longer than expected', () => {
    makeScarce();
    addUpstream('slowest', 2.1);
    addUpstream('slow', 1.6);
    addUpstream('fast', 0.6);
    expect(chooseUpstreamKey(createTask())).to.equal('slow');
  });

  it('weighs data locality against speed', () => {
    addUpstream('near', 1.4, ['rack']);
    addUpstream('far', 1);
    expect(chooseUpstreamKey(createTask({dataRack: 'rack'}))).to.equal('near');
    addUpstream('fast', 0.5);
    expect(chooseUpstreamKey(createTask({dataRack: 'rack'}))).to.equal('fast');
  });

  it('chooses only upstreams with the label that a task requires', () => {
    addUpstream('other', 0.5);
    addUpstream('right', 1.5, ['kind']);
    expect(chooseUpstreamKey(createTask({label: 'kind'}))).to.equal('right');
    expect(chooseUpstreamKey(createTask({label: 'none'}))).to.equal(undefined);
  });

  it('reflects starts and ends without a refresh', () => {
    const fast = addUpstream('fast', 0.5);
    addUpstream('slow', 1);
    expect(chooseUpstreamKey(createTask())).to.equal('fast');
    const both = step(1, {cpuMillis: 2_000});
    fast.runs.capacityUse.add(both);
    expect(chooseUpstreamKey(createTask())).to.equal('slow');
    fast.runs.capacityUse.remove(both);
    expect(chooseUpstreamKey(createTask())).to.equal('fast');
  });
});
