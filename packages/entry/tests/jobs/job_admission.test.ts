import {
  type RecordsCommand,
  type RecordsResult,
  RecordsState,
} from '@mustardferry/coordination';
import {expect} from 'chai';

import {problem} from '../../src/http/problems.js';
import {JobAdmission} from '../../src/jobs/job_admission.js';
import {
  admitCommand,
  FakeScheduler,
  JOB_ID,
  ONCE,
  POLICY,
  REPEATABLE,
  submitReq,
} from '../fixtures.js';

interface Setup {
  readonly before?: readonly RecordsCommand[];
  readonly durable?: boolean;
  readonly refused?: boolean;
  readonly result?: RecordsResult;
}

function setUp(setup: Setup) {
  const state = new RecordsState();
  for (const command of setup.before ?? []) state.apply(command);
  const scheduler = new FakeScheduler();
  if (setup.refused === true) {
    const full = problem('queue-full', '');
    scheduler.verdict = {problem: full, reason: 'queue-full'};
  }
  const admission = new JobAdmission({
    state,
    scheduler,
    policy: () => POLICY,
    retentionMs: 60_000,
    hasDurableStorage: () => setup.durable ?? true,
    propose: async command => setup.result ?? state.apply(command),
  });
  return {state, admission};
}

describe('JobAdmission', () => {
  const refusals: readonly {
    readonly name: string;
    readonly setup: Setup;
    readonly req?: ReturnType<typeof submitReq>;
    readonly code: string;
    readonly outcome: string;
  }[] = [
    {
      name: 'an unknown team',
      setup: {},
      req: submitReq(ONCE, {
        submission: {...submitReq().submission, team: 'x'},
      }),
      code: 'unknown-team',
      outcome: 'not-run',
    },
    {
      name: 'an unknown kind',
      setup: {},
      req: submitReq({...ONCE, kind: 'x'}),
      code: 'unknown-kind',
      outcome: 'not-run',
    },
    {
      name: 'a job that needs synced storage when there is none',
      setup: {durable: false},
      code: 'no-durable-storage',
      outcome: 'not-run',
    },
    {
      name: 'a job over the limits',
      setup: {refused: true},
      code: 'queue-full',
      outcome: 'not-run',
    },
    {
      name: 'a job beyond the number of records',
      setup: {before: [{type: 'configure', maxRecords: 0}]},
      code: 'queue-full',
      outcome: 'not-run',
    },
    {
      name: 'an id that a lost generation may have admitted',
      setup: {
        before: [
          {
            type: 'mark-generation',
            generation: 2,
            grantedAtMs: Number.MAX_SAFE_INTEGER,
            unknownUntilMs: Number.MAX_SAFE_INTEGER,
          },
        ],
      },
      code: 'owner-unknown',
      outcome: 'unknown',
    },
  ];
  for (const {name, setup, req = submitReq(), code, outcome} of refusals) {
    it(`leaves no record of ${name} and reports ${outcome}`, async () => {
      const {state, admission} = setUp(setup);
      const result = await admission.admit(req);
      expect(result).to.include({type: 'reply'});
      expect(result).to.deep.nested.include({
        'reply.jobId': JOB_ID,
        'reply.problem.code': code,
        'reply.problem.outcome': outcome,
      });
      expect(state.getCounts().total).to.equal(0);
    });
  }

  it('does not refuse repeatable kinds for lack of a disk', async () => {
    const {state, admission} = setUp({durable: false});
    const result = await admission.admit(submitReq(REPEATABLE));
    expect(result.type).to.equal('admitted');
    expect(state.get(JOB_ID)?.repeatable).to.equal(true);
  });

  it('joins an existing record, but not with another body', async () => {
    const before = [admitCommand()];
    const joined = await setUp({before}).admission.admit(submitReq());
    expect(joined.type).to.equal('admitted');
    const other = submitReq(ONCE, {digest: 'd2'});
    const conflict = await setUp({before}).admission.admit(other);
    expect(conflict).to.nested.include({'reply.problem.code': 'key-conflict'});
  });

  it('rejects the result of another command as an admission', async () => {
    const {admission} = setUp({result: {type: 'expire', dropped: 0}});
    const result = await admission.admit(submitReq());
    expect(result).to.nested.include({'reply.type': 'not-owner'});
  });
});
