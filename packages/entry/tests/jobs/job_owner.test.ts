import {
  type RecordsCommand,
  type RecordsResult,
  RecordsState,
} from '@mustardferry/coordination';
import type {OwnerReply} from '@mustardferry/links';
import {NullMetrics} from '@mustardferry/runtime';
import {type Clock, install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {problem} from '../../src/http/problems.js';
import {JobExplanations} from '../../src/jobs/job_explanations.js';
import {JobOwner} from '../../src/jobs/job_owner.js';
import {OwnershipLostError} from '../../src/jobs/owner_errors.js';
import {
  admitCommand,
  FakeScheduler,
  JOB_ID,
  LOGGER,
  ONCE,
  POLICY,
  REPEATABLE,
  startItem,
  submitReq,
} from '../fixtures.js';

type Propose = (command: RecordsCommand) => Promise<RecordsResult>;

class Setup {
  readonly state = new RecordsState();
  readonly scheduler = new FakeScheduler();
  readonly proposed: {readonly type: string; readonly durable: boolean}[] = [];
  apply: Propose = async command => this.state.apply(command);
  readonly owner = new JobOwner({
    group: 'dc1.0',
    epoch: {group: 'dc1.0', generation: 1, term: 7},
    state: this.state,
    propose: (command, {durable = false} = {}) => {
      this.proposed.push({type: command.type, durable});
      return this.apply(command);
    },
    policy: () => POLICY,
    scheduler: this.scheduler,
    retentionMs: 60_000,
    holdsLease: () => true,
    hasDurableStorage: () => true,
    explanations: new JobExplanations(),
    logger: LOGGER,
    metrics: new NullMetrics(),
  });

  count(type: string): number {
    return this.proposed.filter(command => command.type === type).length;
  }

  /** Completes all scheduled tasks, last one first. */
  completeAll(): void {
    for (const {job, index} of [...this.scheduler.scheduled].reverse()) {
      this.owner.completeTask(job, index, `v${index}`);
    }
  }

  /** Makes proposals of one type fail, as after a lost term. */
  failProposals(type: string): void {
    this.apply = async command => {
      if (command.type === type) throw new Error('not the leader');
      return this.state.apply(command);
    };
  }
}

function stateOf(reply: OwnerReply): string {
  if (reply.type === 'job') return reply.view.state;
  if (reply.type === 'problem') return reply.problem.code;
  return reply.type;
}

function outcomeOf(reply: OwnerReply): string | undefined {
  return reply.type === 'job' ? reply.view.problem?.outcome : undefined;
}

describe('JobOwner', () => {
  let clock: Clock;
  let setup: Setup;
  beforeEach(() => {
    clock = install({now: 1_000});
    setup = new Setup();
  });
  afterEach(() => clock.uninstall());

  it('admits once when two submissions of a key arrive together', async () => {
    const {owner, scheduler} = setup;
    const replies = Promise.all([
      owner.submit(submitReq()),
      owner.submit(submitReq()),
      owner.submit(submitReq(ONCE, {digest: 'd2'})),
    ]);
    await clock.tickAsync(0);
    expect(scheduler.scheduled).to.have.length(2);
    setup.completeAll();
    const states = (await replies).map(stateOf);
    expect(states).to.deep.equal(['complete', 'complete', 'key-conflict']);
    expect(setup.count('admit')).to.equal(1);
    expect(setup.count('finish')).to.equal(1);
  });

  it('takes only submissions that wait for callers to refuse in an evacuation', async () => {
    const {owner, scheduler} = setup;
    const isAwaited = () =>
      scheduler.scheduled[0]?.job.isAwaitedBySubmitter(Date.now());
    void owner.submit(submitReq(ONCE, {waitMs: 0}));
    await clock.tickAsync(0);
    void owner.reply(JOB_ID, 1_000);
    expect(isAwaited()).to.equal(false);
    void owner.submit(submitReq(ONCE, {waitMs: 1_000}));
    expect(isAwaited()).to.equal(true);
    await clock.tickAsync(1_000);
    expect(isAwaited()).to.equal(false);
  });

  it('starts no task again for a later resubmission', async () => {
    const {owner, scheduler} = setup;
    const first = await owner.submit(submitReq(ONCE, {waitMs: 0}));
    expect(stateOf(first)).to.equal('queued');
    const joined = owner.submit(submitReq());
    await clock.tickAsync(0);
    setup.completeAll();
    expect(stateOf(await joined)).to.equal('complete');
    const stored = await owner.submit(submitReq());
    expect(stored).to.deep.nested.include({
      'view.results': [
        {id: 't0', value: 'v0'},
        {id: 't1', value: 'v1'},
      ],
    });
    const other = await owner.submit(submitReq(ONCE, {digest: 'd2'}));
    expect(stateOf(other)).to.equal('key-conflict');
    expect(scheduler.scheduled).to.have.length(2);
    expect(owner.openJobs).to.equal(0);
  });

  it('leaves no record of a refused job, so that a retry is admitted', async () => {
    const {owner, scheduler, state} = setup;
    const full = problem('queue-full', '');
    scheduler.verdict = {problem: full, reason: 'queue-full'};
    expect(stateOf(await owner.submit(submitReq()))).to.equal('queue-full');
    expect(state.getCounts().total).to.equal(0);
    expect(owner.explainJob(JOB_ID)).to.include({type: 'steps'});
    scheduler.verdict = {reason: 'capacity-available'};
    const retried = await owner.submit(submitReq(ONCE, {waitMs: 0}));
    expect(stateOf(retried)).to.equal('queued');
  });

  const endings = [
    {by: 'deadline', started: false, outcome: 'not-run'},
    {by: 'deadline', started: true, outcome: 'failed'},
    {by: 'cancel', started: false, outcome: 'not-run'},
    {by: 'cancel', started: true, outcome: 'failed'},
  ];
  for (const {by, started, outcome} of endings) {
    const when = started ? 'after' : 'before';
    it(`answers ${outcome} and stops tasks for a ${by} ${when} a start`, async () => {
      const {owner, scheduler} = setup;
      const reply = owner.submit(submitReq(ONCE, {}, 500));
      await clock.tickAsync(0);
      if (started) scheduler.scheduled[0]?.job.countStart();
      if (by === 'cancel') void owner.cancel(JOB_ID, 0);
      await clock.tickAsync(500);
      expect(outcomeOf(await reply)).to.equal(outcome);
      expect(scheduler.cancelled).to.deep.equal([JOB_ID]);
      setup.completeAll();
      expect(setup.count('finish')).to.equal(1);
    });
  }

  it('does not answer not-run when a start was recorded but not sent', async () => {
    const {owner} = setup;
    await owner.submit(submitReq(ONCE, {waitMs: 0}));
    await owner.recordStarts([startItem()]);
    const reply = await owner.cancel(JOB_ID, 1_000);
    expect(outcomeOf(reply)).to.equal('failed');
    expect(setup.proposed.find(({type}) => type === 'start')?.durable).to.equal(
      true,
    );
  });

  it('answers not-owner and publishes nothing when the term ends during a wait', async () => {
    const {owner, state} = setup;
    const reply = owner.submit(submitReq());
    await clock.tickAsync(0);
    owner.releaseJobs();
    expect(stateOf(await reply)).to.equal('not-owner');
    setup.completeAll();
    await clock.tickAsync(0);
    expect(state.get(JOB_ID)?.answer).to.equal(undefined);
    expect(setup.count('finish')).to.equal(0);
    expect(owner.active).to.equal(false);
    expect(clock.countTimers()).to.equal(0);
  });

  it('starts no task when the term ends before the admission is recorded', async () => {
    const {owner, scheduler} = setup;
    setup.apply = async command => {
      const result = setup.state.apply(command);
      owner.releaseJobs();
      return result;
    };
    expect(stateOf(await owner.submit(submitReq()))).to.equal('not-owner');
    expect(scheduler.scheduled).to.have.length(0);
  });

  for (const type of ['admit', 'start', 'seal']) {
    it(`reports lost ownership when ${type} was not recorded`, async () => {
      const {owner} = setup;
      setup.failProposals(type);
      const run = (): Promise<unknown> => {
        if (type === 'admit') return owner.submit(submitReq());
        if (type === 'start') return owner.recordStarts([startItem()]);
        return owner.recordSeal(JOB_ID, 0, 1);
      };
      const err: unknown = await run().catch((cause: unknown) => cause);
      expect(err).to.be.instanceOf(OwnershipLostError);
      expect((err as Error).cause).to.be.instanceOf(Error);
    });
  }

  it('answers not-owner, not running, when the answer was not recorded', async () => {
    const {owner} = setup;
    const reply = owner.submit(submitReq());
    await clock.tickAsync(0);
    setup.failProposals('finish');
    setup.completeAll();
    expect(stateOf(await reply)).to.equal('not-owner');
  });

  it('resumes recorded starts and reschedules only repeatable or unstarted tasks', () => {
    const {owner, scheduler, state} = setup;
    const second = JOB_ID.replaceAll('a', 'c');
    state.apply(admitCommand(ONCE));
    state.apply(admitCommand(REPEATABLE, second));
    state.apply({type: 'start', starts: [startItem({taskIndex: 1})]});
    owner.takeOverJobs();
    const named = (tasks: typeof scheduler.scheduled) =>
      tasks.map(({job, index}) => `${job.kind.kind}/${index}`);
    expect(named(scheduler.resumed)).to.deep.equal(['posting/1']);
    expect(named(scheduler.scheduled)).to.deep.equal([
      'posting/0',
      'statement/0',
      'statement/1',
    ]);
    expect(scheduler.scheduled[0]?.nextAttempt).to.equal(7_001);
  });

  it('never answers not-run for a job of an earlier owner', async () => {
    const {owner, state} = setup;
    state.apply(admitCommand(REPEATABLE));
    owner.takeOverJobs();
    const reply = await owner.cancel(JOB_ID, 1_000);
    expect(outcomeOf(reply)).to.equal('failed');
  });

  it('answers unknown for a job whose kind left the configuration', async () => {
    const {owner, state} = setup;
    state.apply(admitCommand({...ONCE, kind: 'gone'}));
    owner.takeOverJobs();
    await clock.tickAsync(0);
    expect(outcomeOf(await owner.reply(JOB_ID, 0))).to.equal('unknown');
  });
});
