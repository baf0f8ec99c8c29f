import type {RecordsCommand, RecordsResult} from '@mustardferry/coordination';
import {RecordsState} from '@mustardferry/coordination';
import type {JobAnswer} from '@mustardferry/model';
import {expect} from 'chai';

import {recordAnswer} from '../../src/jobs/job_settlement.js';
import {admitCommand, JOB_ID, LOGGER, startItem} from '../fixtures.js';

const NOT_RUN: JobAnswer = {
  outcome: 'not-run',
  jobId: JOB_ID,
  code: 'cancelled',
  detail: '',
};
const FAILED: JobAnswer = {...NOT_RUN, outcome: 'failed'};

describe('recordAnswer', () => {
  const cases: readonly {
    readonly name: string;
    readonly before: readonly RecordsCommand[];
    readonly answer: JobAnswer;
    readonly stored: JobAnswer | undefined;
  }[] = [
    {
      name: 'returns the stored answer instead of a later one',
      before: [
        admitCommand(),
        {type: 'finish', jobId: JOB_ID, answer: FAILED, atMs: 1},
      ],
      answer: NOT_RUN,
      stored: FAILED,
    },
    {
      name: 'does not answer not-run after a recorded start',
      before: [admitCommand(), {type: 'start', starts: [startItem()]}],
      answer: NOT_RUN,
      stored: FAILED,
    },
    {
      name: 'keeps not-run when no start was recorded',
      before: [admitCommand()],
      answer: NOT_RUN,
      stored: NOT_RUN,
    },
    {
      name: 'returns no answer for a job without a record',
      before: [],
      answer: NOT_RUN,
      stored: undefined,
    },
    {
      name: 'returns no answer with incomplete results',
      before: [admitCommand()],
      answer: {
        outcome: 'complete',
        jobId: JOB_ID,
        results: [{id: 't1', value: 1}],
      },
      stored: undefined,
    },
  ];
  for (const {name, before, answer, stored} of cases) {
    it(name, async () => {
      const state = new RecordsState();
      for (const command of before) state.apply(command);
      const propose = async (command: RecordsCommand) => state.apply(command);
      const result = await recordAnswer(propose, JOB_ID, answer, LOGGER);
      expect(result).to.deep.equal(stored);
      if (before.length > 0) {
        expect(state.get(JOB_ID)?.answer).to.deep.equal(stored);
      }
    });
  }

  it('returns no answer when the proposal was lost or its reply mismatched', async () => {
    const lost = (): Promise<RecordsResult> =>
      Promise.reject(new Error('lost'));
    const mismatched = async (): Promise<RecordsResult> => ({
      type: 'expire',
      dropped: 0,
    });
    for (const propose of [lost, mismatched]) {
      const result = await recordAnswer(propose, JOB_ID, FAILED, LOGGER);
      expect(result).to.equal(undefined);
    }
  });
});
