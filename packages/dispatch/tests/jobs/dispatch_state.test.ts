import {expect} from 'chai';
import {pack, unpack} from 'msgpackr';

import type {Command} from '../../src/jobs/commands.js';
import {DispatchState} from '../../src/jobs/dispatch_state.js';
import type {AdmittedJob} from '../../src/jobs/job_types.js';
import {QUEUE, step} from '../owner_harness.js';

const INCARNATION = {id: 'u', startedAt: 5};

function job(id: string, tasks = 2): AdmittedJob {
  return {
    id,
    payload: 'text',
    steps: [step(tasks)],
    durable: true,
    queue: 'q',
    pool: 'pool',
    maxAttempts: 2,
    admittedAt: 10,
    term: 1,
  };
}

function ends(
  id: string,
  indexes: readonly number[],
  outcome: 'done' | 'failed',
  upTo = 1,
): Command {
  return {
    type: 'ends',
    at: 20,
    life: INCARNATION,
    upTo,
    ends: indexes.map(index => ({
      task: {job: id, step: 0, index},
      run: 1,
      outcome,
    })),
  };
}

function upstream(startedAt: number): Command {
  return {
    type: 'upstream',
    upstream: {
      id: 'u',
      startedAt,
      pool: 'pool',
      address: '10.0.0.1:1',
      dataCentre: 'a',
      leaving: false,
      cpuMillis: 1,
      memoryMb: 1,
      accelerators: 0,
      labels: [],
    },
  };
}

describe('DispatchState', () => {
  let state: DispatchState;

  beforeEach(() => {
    state = new DispatchState();
  });

  function getOutcome(id: string): string | undefined {
    return state.jobs.get(id)?.outcome;
  }

  it('completes a job when its last task is done, and not before', () => {
    state.apply({type: 'submit', job: job('a')});
    state.apply(ends('a', [0], 'done'));
    expect(getOutcome('a')).to.equal('open');
    state.apply(ends('a', [0], 'done'));
    expect(getOutcome('a')).to.equal('open');
    state.apply(ends('a', [1], 'done'));
    expect(getOutcome('a')).to.equal('completed');
  });

  it('fails a job only once one of its tasks has used all attempts', () => {
    state.apply({type: 'submit', job: job('a')});
    state.apply(ends('a', [0, 1], 'failed'));
    expect(getOutcome('a')).to.equal('open');
    state.apply(ends('a', [0], 'failed'));
    expect(getOutcome('a')).to.equal('failed');
  });

  it('keeps a job cancelled despite later run ends and submissions', () => {
    state.apply({type: 'submit', job: job('a')});
    state.apply({type: 'cancel', job: 'a', at: 15});
    state.apply(ends('a', [0, 1], 'done'));
    state.apply({type: 'submit', job: job('a')});
    expect(getOutcome('a')).to.equal('cancelled');
  });

  it('keeps the progress of a job that is submitted again', () => {
    state.apply({type: 'submit', job: job('a')});
    state.apply(ends('a', [0], 'done'));
    state.apply({type: 'submit', job: job('a')});
    expect(state.jobs.get('a')?.remaining).to.equal(1);
  });

  it('counts run ends that were committed before the admission of their job', () => {
    state.apply(ends('a', [1], 'done'));
    state.apply({type: 'submit', job: job('a')});
    expect(state.jobs.get('a')?.remaining).to.equal(1);
    expect(state.getEarlyEnds('a')).to.deep.equal([]);
  });

  it('ignores run ends of tasks that the job does not have', () => {
    state.apply({type: 'submit', job: job('a')});
    state.apply(ends('a', [7], 'done'));
    expect(state.jobs.get('a')?.remaining).to.equal(2);
  });

  it('never replaces a configuration unless the revision is higher', () => {
    const configure = (revision: number): Command => ({
      type: 'configure',
      configuration: {revision, queues: [QUEUE], source: String(revision)},
    });
    state.apply(configure(7));
    state.apply(configure(3));
    state.apply({
      type: 'configure',
      configuration: {revision: 7, queues: [], source: 'other'},
    });
    expect(state.queues?.configuration.source).to.equal('7');
  });

  it('never replaces an incarnation by an earlier one', () => {
    state.apply(upstream(5));
    state.apply(upstream(4));
    expect(state.upstreams.get('u')?.record.startedAt).to.equal(5);
  });

  it('resets the acknowledged position for each incarnation', () => {
    state.apply(upstream(5));
    state.apply(ends('x', [], 'done', 9));
    expect(state.upstreams.get('u')?.acknowledged).to.equal(9);
    state.apply(upstream(6));
    expect(state.upstreams.get('u')?.acknowledged).to.equal(0);
  });

  it('removes only jobs that ended before the given time', () => {
    state.apply({type: 'submit', job: job('open')});
    state.apply({type: 'submit', job: job('ended')});
    state.apply(ends('ended', [0, 1], 'done'));
    state.apply({type: 'expire', before: 20});
    expect([...state.jobs.keys()]).to.deep.equal(['open', 'ended']);
    state.apply({type: 'expire', before: 21});
    expect([...state.jobs.keys()]).to.deep.equal(['open']);
  });

  it('restores the same state from a snapshot', () => {
    state.apply({
      type: 'configure',
      configuration: {revision: 1, queues: [QUEUE], source: 's'},
    });
    state.apply(upstream(5));
    state.apply({type: 'submit', job: job('a')});
    state.apply(ends('a', [0], 'done'));
    state.apply(ends('b', [0], 'done'));
    const copy = new DispatchState();
    copy.restore(state.snapshot());
    expect(copy.snapshot()).to.deep.equal(state.snapshot());
    copy.apply(ends('a', [1], 'done'));
    expect(copy.jobs.get('a')?.outcome).to.equal('completed');
  });

  function evacuate(basedOn: number): Command {
    const change = {dataCentre: 'north', evacuated: true, at: 7};
    return {type: 'evacuate', ...change, basedOn, operator: 'ops'};
  }

  // Guards against an evacuation that ends when a member restarts.
  it('restores evacuations and their audit trail from a snapshot', () => {
    state.apply(evacuate(0));
    const copy = new DispatchState();
    copy.restore(state.snapshot());
    expect(copy.evacuations.isEvacuated('north')).to.equal(true);
    expect(copy.evacuations.history).to.deep.equal(state.evacuations.history);
    expect(copy.apply(evacuate(0))).to.include({applied: false});
  });

  // Guards against a failing start after an update of the program.
  it('restores a snapshot of an earlier program, which has no evacuations', () => {
    state.apply({type: 'submit', job: job('a')});
    const content = unpack(state.snapshot()) as Record<string, unknown>;
    delete content.evacuations;
    const copy = new DispatchState();
    copy.apply(evacuate(0));
    copy.restore(pack(content));
    expect(copy.evacuations.records).to.deep.equal([]);
    expect(copy.jobs.has('a')).to.equal(true);
  });

  it('reports each change of an evacuation once', () => {
    const reported: boolean[] = [];
    state.onEvacuation = ({evacuated}) => reported.push(evacuated);
    state.apply(evacuate(0));
    state.apply(evacuate(0));
    expect(reported).to.deep.equal([true]);
  });
});
