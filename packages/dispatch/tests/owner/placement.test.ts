/** Which upstream a task gets. */
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

/** Runs after which a speed is known well. */
const LEARNING_RUNS = 50;

/** A task that takes 100 ms as declared; its objective is 260 ms. */
function taskOf(fields: Partial<Step> = {}): OpenTask {
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

  function add(
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

  function chosen(task: OpenTask): string | undefined {
    pool.refresh(NOW);
    return policy.chooseUpstream(task, {pool, now: NOW})?.session.key;
  }

  /** Adds upstreams that are full, four for each with room in a test. */
  function makeScarce(): void {
    for (let i = 0; i < 12; i++) {
      add(`full${i}`, 1).runs.capacityUse.add(step(1, {cpuMillis: 2_000}));
    }
  }

  it('prefers the fastest upstream while there is plenty of room', () => {
    add('slow', 1.6);
    add('fast', 0.6);
    expect(chosen(taskOf())).to.equal('fast');
  });

  it('saves fast upstreams for others while room is scarce', () => {
    makeScarce();
    add('slow', 1.6);
    add('fast', 0.6);
    expect(chosen(taskOf())).to.equal('slow');
  });

  // Long tasks went where they were late when they took a little longer.
  it('leaves time for a run that takes a quarter longer than expected', () => {
    makeScarce();
    add('slowest', 2.1);
    add('slow', 1.6);
    add('fast', 0.6);
    expect(chosen(taskOf())).to.equal('slow');
  });

  it('weighs the distance of the data against the speed', () => {
    add('near', 1.4, ['rack']);
    add('far', 1);
    expect(chosen(taskOf({dataRack: 'rack'}))).to.equal('near');
    add('fast', 0.5);
    expect(chosen(taskOf({dataRack: 'rack'}))).to.equal('fast');
  });

  it('takes only upstreams with the label that a task asks for', () => {
    add('other', 0.5);
    add('right', 1.5, ['kind']);
    expect(chosen(taskOf({label: 'kind'}))).to.equal('right');
    expect(chosen(taskOf({label: 'none'}))).to.equal(undefined);
  });

  it('follows starts and ends without reading the states again', () => {
    const fast = add('fast', 0.5);
    add('slow', 1);
    expect(chosen(taskOf())).to.equal('fast');
    const both = step(1, {cpuMillis: 2_000});
    fast.runs.capacityUse.add(both);
    expect(chosen(taskOf())).to.equal('slow');
    fast.runs.capacityUse.remove(both);
    expect(chosen(taskOf())).to.equal('fast');
  });
});
