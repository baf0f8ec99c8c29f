import {expect} from 'chai';

import {runningJob, startItem} from '../fixtures.js';

const FAILURE = {code: 'cancelled', detail: ''};

describe('RunningJob', () => {
  it('never answers with a part of the results, nor out of order', () => {
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

  it('does not let a second result replace the first or count twice', () => {
    const job = runningJob();
    job.complete(0, 'first');
    expect(job.complete(0, 'second')).to.equal(undefined);
    const answer = job.complete(1, undefined);
    expect(answer).to.have.nested.property('results[0].value', 'first');
  });

  const outcomes = [
    {name: 'nothing sent', shape: {}, sent: 0, undone: 0, outcome: 'not-run'},
    {name: 'one sent', shape: {}, sent: 1, undone: 0, outcome: 'failed'},
    {
      name: 'all unsent again',
      shape: {},
      sent: 2,
      undone: 2,
      outcome: 'not-run',
    },
    {
      name: 'one of two unsent',
      shape: {},
      sent: 2,
      undone: 1,
      outcome: 'failed',
    },
    {
      name: 'taken over',
      shape: {takenOver: true},
      sent: 1,
      undone: 1,
      outcome: 'failed',
    },
    {
      name: 'a start on record',
      shape: {starts: [startItem()]},
      sent: 0,
      undone: 0,
      outcome: 'failed',
    },
  ];
  for (const {name, shape, sent, undone, outcome} of outcomes) {
    it(`claims ${outcome} and nothing else after ${name}`, () => {
      const job = runningJob(shape);
      for (let i = 0; i < sent; i++) job.countStart();
      for (let i = 0; i < undone; i++) job.uncountStart();
      expect(job.fail(FAILURE)).to.include({outcome, code: 'cancelled'});
    });
  }

  it('does not claim failed when a task may have run unseen', () => {
    const answer = runningJob().fail({...FAILURE, unknown: true});
    expect(answer).to.include({outcome: 'unknown'});
  });

  it('is settled once: no result or failure replaces the first answer', () => {
    const job = runningJob({tasks: 1});
    expect(job.fail(FAILURE)).to.include({outcome: 'not-run'});
    expect(job.complete(0, 1)).to.equal(undefined);
    expect(job.fail({...FAILURE, unknown: true})).to.equal(undefined);
  });

  it('does not keep a client waiting after the answer or a lost term', async () => {
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

  it('does not grow without bound while a job is retried', () => {
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
