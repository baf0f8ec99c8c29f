import {expect} from 'chai';

import {
  fail,
  problem,
  PROBLEM_CATALOG,
  type ProblemCode,
  ProblemError,
  problemOfAnswer,
} from '../../src/http/problems.js';

const ANSWER = {jobId: 'j', detail: 'd'};

describe('problems', () => {
  for (const code of Object.keys(PROBLEM_CATALOG) as ProblemCode[]) {
    it(`${code} names its outcome and a status that fits it`, () => {
      const body = problem(code, 'd');
      expect(body).to.include({type: `urn:mustardferry:error:${code}`, code});
      expect(body.outcome).to.be.oneOf(['not-run', 'failed', 'unknown']);
      expect(body.status).to.be.within(400, 599);
    });
  }

  const answers = [
    {code: 'cancelled', outcome: 'not-run', shown: 'cancelled'},
    {code: 'task-failed', outcome: 'failed', shown: 'task-failed'},
    {code: 'unknown-kind', outcome: 'unknown', shown: 'unknown-kind'},
    {code: 'constructor', outcome: 'failed', shown: 'internal'},
  ] as const;
  for (const {code, outcome, shown} of answers) {
    it(`keeps the outcome ${outcome} of the stored answer ${code}`, () => {
      const body = problemOfAnswer({...ANSWER, code, outcome});
      expect(body).to.include({code: shown, outcome, jobId: 'j', detail: 'd'});
    });
  }

  it('does not lose the code when a handler ends a request', () => {
    const run = (): never => fail('draining', 'later', {retryAfterSeconds: 1});
    expect(run).to.throw(ProblemError, 'draining: later');
  });
});
