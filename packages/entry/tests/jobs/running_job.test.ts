import {expect} from 'chai';

import {runningJob, startItem} from '../fixtures.js';

const FAILURE = {code: 'cancelled', detail: ''};

describe('RunningJob', () => {
  it('answers only with all results, in task order', () => {
    const job = runningJob({tasks: 3});
    expect(job.complete(2, 'c')).to.equal(undefined);
    expect(job.complete(0, 'a')).to.equal(undefined);
    expect(job.complete(1, 'b')).to.deep.equal({
      outcome: 'complete',
      jobId: job.jobId,
      results: [
        {id: 't0', value: 'a'},
        {id: 't1', value: 'b'},
        {id: 't2', value: 'c'},
      ],
    });
  });

  it('discards a second result of the same task', () => {
    const job = runningJob();
    job.complete(0, 'first');
    expect(job.complete(0, 'second')).to.equal(undefined);
    const answer = job.complete(1, undefined);
    expect(answer).to.have.nested.property('results[0].value', 'first');
  });

  const outcomes = [
    {name: 'nothing sent', shape: {}, sent: 0, reverted: 0, outcome: 'not-run'},
    {name: 'one sent', shape: {}, sent: 1, reverted: 0, outcome: 'failed'},
    {
      name: 'all starts reverted',
      shape: {},
      sent: 2,
      reverted: 2,
      outcome: 'not-run',
    },
    {
      name: 'one of two starts reverted',
      shape: {},
      sent: 2,
      reverted: 1,
      outcome: 'failed',
    },
    {
      name: 'taken over',
      shape: {takenOver: true},
      sent: 1,
      reverted: 1,
      outcome: 'failed',
    },
    {
      name: 'a recorded start',
      shape: {starts: [startItem()]},
      sent: 0,
      reverted: 0,
      outcome: 'failed',
    },
  ];
  for (const {name, shape, sent, reverted, outcome} of outcomes) {
    it(`answers ${outcome} after ${name}`, () => {
      const job = runningJob(shape);
      for (let i = 0; i < sent; i++) job.countStart();
      for (let i = 0; i < reverted; i++) job.uncountStart();
      expect(job.fail(FAILURE)).to.include({outcome, code: 'cancelled'});
    });
  }

  it('answers unknown when a task may have run without a known outcome', () => {
    const answer = runningJob().fail({...FAILURE, unknown: true});
    expect(answer).to.include({outcome: 'unknown'});
  });

  it('settles once: no result or failure replaces the first answer', () => {
    const job = runningJob({tasks: 1});
    expect(job.fail(FAILURE)).to.include({outcome: 'not-run'});
    expect(job.complete(0, 1)).to.equal(undefined);
    expect(job.fail({...FAILURE, unknown: true})).to.equal(undefined);
  });

  it('ends waits on the answer or a lost term', async () => {
    const answered = runningJob({tasks: 1});
    const answer = answered.complete(0, 1);
    const waits = [
      answered.waitForAnswer(1_000),
      answered.waitForAnswer(1_000),
    ];
    if (answer !== undefined) answered.publishAnswer(answer);
    expect(await Promise.all(waits)).to.deep.equal([answer, answer]);
    expect(await answered.waitForAnswer(0)).to.equal(answer);
    const lost = runningJob();
    const wait = lost.waitForAnswer(1_000);
    lost.releaseWaiters();
    expect(await wait).to.equal(undefined);
    expect(await lost.waitForAnswer(1_000)).to.equal(undefined);
  });

  it('bounds the explanation steps of a job that is retried', () => {
    const job = runningJob();
    for (let i = 0; i < 1_200; i++) {
      job.explain({
        atMs: i,
        taskId: '',
        step: 'retried',
        reason: '',
        detail: '',
      });
    }
    expect(job.steps).to.have.length(1_000);
  });
});
