import {type Clock, install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import type {AdmissionVerdict} from '../../src/jobs/task_scheduler.js';
import {JOB_ID, ONCE, TEAM, upstream} from '../fixtures.js';
import {Harness} from './harness.js';

const TASK = {id: 't', payload: 0};
const BIG = {slots: 1, processors: 99, memoryMb: 0, accelerators: 0};

describe('Admission', () => {
  let clock: Clock;
  beforeEach(() => (clock = install({now: 0})));
  afterEach(() => clock.uninstall());

  const cases = [
    {
      name: 'too large a task',
      tasks: [{...TASK, resources: BIG}],
      kind: ONCE,
      code: 'no-upstream-large-enough',
    },
    {
      name: 'one too large of two tasks',
      tasks: [TASK, {...TASK, resources: BIG}],
      kind: ONCE,
      code: 'no-upstream-large-enough',
    },
    {
      name: 'a kind that no upstream offers',
      tasks: [TASK],
      kind: {...ONCE, kind: 'none'},
      code: 'no-upstream-for-kind',
    },
    {
      name: 'more tasks than the queue takes',
      tasks: Array<typeof TASK>(3).fill(TASK),
      kind: {...ONCE, queueLimit: 2},
      code: 'queue-full',
    },
    {name: 'no limit', tasks: [TASK], kind: ONCE, code: undefined},
  ];
  for (const {name, tasks, kind, code} of cases) {
    it(`refuses jobs that cannot run or exceed a limit, and no others: ${name}`, async () => {
      const harness = new Harness();
      let verdict: AdmissionVerdict | undefined;
      void harness.dispatcher
        .admit({jobId: JOB_ID, job: {team: TEAM, kind}, tasks})
        .then(value => (verdict = value));
      await clock.tickAsync(5_000);
      expect(verdict?.problem?.code).to.equal(code);
      expect(verdict?.reason).to.be.a('string');
      const refused = code === undefined ? [] : [TEAM.team];
      expect(harness.refusedTeams).to.deep.equal(refused);
      if (code !== undefined) {
        expect(verdict?.problem).to.include({
          outcome: 'not-run',
          jobId: JOB_ID,
        });
      }
      harness.close();
    });
  }

  const evacuations = [
    {
      name: 'refuses at once, while an upstream of its kind is evacuated',
      upstreams: [upstream()],
      code: 'data-centre-evacuated',
    },
    {
      name: 'refuses at once, while its upstreams can not announce themselves elsewhere',
      upstreams: [],
      code: 'data-centre-evacuated',
    },
    {
      name: 'admits, while an upstream of another data centre can run it',
      upstreams: [upstream(), upstream({worker: 'w2', dataCentre: 'dc2'})],
      code: undefined,
    },
  ];
  for (const {name, upstreams, code} of evacuations) {
    it(`does not let a caller wait for an evacuated data centre: ${name}`, async () => {
      const harness = new Harness(
        upstreams.map((each, i) => ({...each, incarnation: i})),
      );
      harness.evacuate('dc1');
      const verdict = await harness.dispatcher.admit({
        jobId: JOB_ID,
        job: {team: TEAM, kind: ONCE},
        tasks: [TASK],
      });
      expect(Date.now()).to.equal(0);
      expect(verdict.problem?.code).to.equal(code);
      expect(verdict.problem?.outcome).to.equal(code && 'not-run');
      expect(verdict.reason).to.equal(code ?? 'admitted');
      harness.close();
    });
  }

  it('admits a job whose upstream announces itself within the grace period', async () => {
    const harness = new Harness([]);
    let verdict: AdmissionVerdict | undefined;
    void harness.dispatcher
      .admit({jobId: JOB_ID, job: {team: TEAM, kind: ONCE}, tasks: [TASK]})
      .then(value => (verdict = value));
    await clock.tickAsync(900);
    expect(verdict).to.equal(undefined);
    harness.add(upstream());
    await clock.tickAsync(100);
    expect(verdict).to.not.have.property('problem');
    harness.close();
  });
});
