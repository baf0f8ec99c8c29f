import {expect} from 'chai';

import {problem} from '../../src/http/problems.js';
import {JobExplanations} from '../../src/jobs/job_explanations.js';

describe('JobExplanations', () => {
  it('drops the oldest job when it exceeds its capacity', () => {
    const explanations = new JobExplanations(2);
    for (const id of ['a', 'b', 'a', 'c']) explanations.storeSteps(id, []);
    expect(explanations.getSteps('b')).to.equal(undefined);
    expect(explanations.getSteps('a')).to.deep.equal([]);
    expect(explanations.getSteps('c')).to.deep.equal([]);
  });

  it('keeps why a job without a record was refused', () => {
    const explanations = new JobExplanations();
    explanations.storeRefusal('a', undefined);
    expect(explanations.getSteps('a')).to.equal(undefined);
    explanations.storeRefusal('a', {
      problem: problem('queue-full', 'full'),
      reason: 'queue-full',
      answer: 'coop.posting.queue',
    });
    expect(explanations.getSteps('a')?.[0]).to.include({
      step: 'refused',
      reason: 'queue-full',
      detail: 'full',
      answer: 'coop.posting.queue',
    });
  });
});
