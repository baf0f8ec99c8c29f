import type {StartResult} from '@mustardferry/coordination';
import {expect} from 'chai';

import {StartRecorder} from '../../src/dispatch/start_recorder.js';
import {FakeOwnership, startItem} from '../fixtures.js';

const REFUSED: StartResult = {outcome: 'refused', reason: 'already-started'};

function recordAll(
  owner: FakeOwnership,
  count: number,
  recorder: StartRecorder,
) {
  const starts = Array.from({length: count}, (_, taskIndex) =>
    recorder.record(owner, startItem({taskIndex})),
  );
  return Promise.all(starts);
}

describe('StartRecorder', () => {
  it('makes one proposal per owner, not a disk sync per task', async () => {
    const recorder = new StartRecorder();
    const owners = [new FakeOwnership(), new FakeOwnership()] as const;
    const [first] = await Promise.all([
      recordAll(owners[0], 100, recorder),
      recordAll(owners[1], 1, recorder),
    ]);
    expect(owners[0].batches.map(batch => batch.length)).to.deep.equal([100]);
    expect(owners[1].batches.map(batch => batch.length)).to.deep.equal([1]);
    expect(first.every(result => result?.outcome === 'started')).to.equal(true);
    await recordAll(owners[0], 1, recorder);
    expect(owners[0].batches).to.have.length(2);
  });

  const cases: readonly {
    readonly name: string;
    readonly answer: FakeOwnership['answerStarts'];
    readonly results: readonly (StartResult | undefined)[];
  }[] = [
    {
      name: 'the proposal failed',
      answer: () => Promise.reject(new Error('lost')),
      results: [undefined, undefined],
    },
    {
      name: 'the answer is short',
      answer: async () => [{outcome: 'started'}],
      results: [{outcome: 'started'}, undefined],
    },
    {
      name: 'one start is refused',
      answer: async () => [REFUSED, {outcome: 'started'}],
      results: [REFUSED, {outcome: 'started'}],
    },
  ];
  for (const {name, answer, results} of cases) {
    it(`reports only confirmed starts as recorded when ${name}`, async () => {
      const owner = new FakeOwnership();
      owner.answerStarts = answer;
      const got = await recordAll(owner, 2, new StartRecorder());
      expect(got).to.deep.equal(results);
    });
  }
});
