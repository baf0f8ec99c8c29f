/** Answers to holds that arrive out of order. */
import {must} from '@mustardferry/model';
import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {EvacuationTable} from '../../src/jobs/evacuations.js';
import type {Run} from '../../src/owner/job_table_types.js';
import {UpstreamSession} from '../../src/owner/upstream_session.js';
import type {
  ActiveRun,
  HoldAnswer,
  RunEnd,
} from '../../src/upstreams/upstream_port.js';
import {FakePort, FakeUpstream} from '../fake_upstreams.js';
import {createRun, NOOP_EVENTS} from './session_fixture.js';

const TASK = {job: 'a', step: 0, index: 0};
const OTHER_TASK = {job: 'b', step: 0, index: 0};
const ACTIVE: ActiveRun = {task: TASK, run: 1, percent: 50};
const OTHER: ActiveRun = {task: OTHER_TASK, run: 1, percent: 50};
const END: RunEnd = {sequence: 1, task: TASK, run: 1, outcome: 'done'};

type Held = Extract<HoldAnswer, {type: 'held'}>;

/** Keeps holds unanswered until a test answers them, in any order. */
class DeferredPort extends FakePort {
  readonly open: ((answer: HoldAnswer) => void)[] = [];

  override hold(): Promise<HoldAnswer> {
    return new Promise(resolve => this.open.push(resolve));
  }
}

describe('Answers to holds that arrive out of order', () => {
  let clock: Clock;
  let port: DeferredPort;
  let session: UpstreamSession;
  let run: Run;
  let found: ActiveRun[];
  let ended: RunEnd[];
  let lost: string[];

  // A run is on the upstream. Two holds are unanswered: one that waits for the
  // end of the run, and one that verifies another run.
  beforeEach(async () => {
    clock = fakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance'],
    });
    const upstream = new FakeUpstream('u', '10.0.0.1:1', []);
    port = new DeferredPort([upstream]);
    found = [];
    ended = [];
    lost = [];
    session = new UpstreamSession({
      record: upstream.announcement(1),
      acknowledged: 0,
      clockMs: 1_000,
      token: 1,
      leaseMs: 700,
      maxLeaseMs: 1_000,
      evacuations: new EvacuationTable(),
      port,
      events: {
        ...NOOP_EVENTS,
        ended: (_session, ends) => {
          ended.push(...ends);
          return Promise.resolve(true);
        },
        runLost: (_run, cause) => lost.push(cause),
        runFound: (_session, active) => found.push(active),
      },
      maySendOrders: () => true,
    });
    run = createRun(session, TASK);
    run.phase = 'running';
    run.confirmedAt = performance.now();
    session.adoptRun(run);
    await clock.tickAsync(1);
    await answer(0, {clockMs: 1_001, active: [ACTIVE]});
    void session.verifyRun(createRun(session, OTHER_TASK));
    await clock.tickAsync(1);
    expect(port.open).to.have.length(3);
  });

  afterEach(() => {
    session.close();
    clock.uninstall();
  });

  async function answer(index: number, fields: Partial<Held>): Promise<void> {
    must(
      port.open[index],
      `no hold ${index}`,
    )({
      type: 'held',
      clockMs: 0,
      startedAt: 1,
      active: [],
      ends: [],
      moreEnds: false,
      ...fields,
    });
    await clock.tickAsync(1);
  }

  // Guards against adopting a run that has ended.
  it('do not bring back a run whose end was processed', async () => {
    await answer(2, {clockMs: 1_050, active: [OTHER], ends: [END]});
    await answer(1, {clockMs: 1_040, active: [ACTIVE, OTHER]});
    expect(found).to.deep.equal([]);
    expect(ended).to.deep.equal([END]);
    expect(lost).to.deep.equal([]);
  });

  // Guards against upstreams that get no more work because of a late answer.
  it('do not count as failures', async () => {
    await answer(2, {clockMs: 1_050, active: [ACTIVE, OTHER]});
    await answer(1, {clockMs: 1_040, active: [ACTIVE, OTHER]});
    expect(session.acceptsRuns).to.equal(true);
    expect(port.open).to.have.length(4);
  });

  // Guards against run times computed from a clock reading that went backwards.
  it('do not change the time of the newest list', async () => {
    run.progress.recordStart(1_001);
    await answer(2, {clockMs: 1_250, active: [ACTIVE, OTHER]});
    await answer(1, {clockMs: 1_040, active: [ACTIVE, OTHER]});
    await answer(3, {clockMs: 1_300, active: [OTHER], ends: [END]});
    expect(run.measuredRunMs).to.equal(299);
  });

  // Guards against ends that wait for another hold without need.
  it('count as newer with the same clock reading', async () => {
    await answer(2, {clockMs: 1_050, active: [ACTIVE, OTHER]});
    await answer(1, {clockMs: 1_050, active: [OTHER], ends: [END]});
    expect(ended).to.deep.equal([END]);
  });

  // Guards against ignoring an upstream whose clock restarted.
  it('are accepted when they do not name the incarnation that answers', async () => {
    await answer(2, {clockMs: 1_050, active: [ACTIVE, OTHER]});
    await answer(1, {clockMs: 20, startedAt: undefined, ends: [END]});
    expect(ended).to.deep.equal([END]);
  });
});
