/** Replies to callers when the upstreams are overloaded. */
import {expect} from 'chai';

import type {Reply} from '../../src/messages/calls.js';
import {OwnerHarness, step} from '../owner_harness.js';

const STEPS = [step(2, {declaredMs: 400})];

/** Time in ms within which an immediate refusal arrives. */
const IMMEDIATE_REFUSAL_MS = 100;

describe('Owner in overload', () => {
  let harness: OwnerHarness;

  beforeEach(async () => {
    // The upstream runs two tasks, so one job, at a time; the objective is 860
    // ms.
    harness = new OwnerHarness(1);
    await harness.setUp();
    harness.upstream(0).runMs = 400;
  });

  afterEach(() => harness.close());

  function submitAll(count: number): Promise<Reply>[] {
    return Array.from({length: count}, (_, i) =>
      harness.submit(`j${i}`, STEPS),
    );
  }

  // Guards against holding each job until its deadline and refusing it only
  // then.
  it('refuses at once jobs that cannot end before their deadline', async () => {
    let refused = 0;
    const answers = submitAll(10);
    for (const [i, answer] of answers.entries()) {
      void answer.then(({type}) => {
        if (type !== 'refused') return;
        refused++;
        expect(harness.spans.some(s => s.task.startsWith(`j${i}`))).to.equal(
          false,
        );
      });
    }
    await harness.advanceClock(IMMEDIATE_REFUSAL_MS);
    // Three jobs of 400 ms end before 1,500 ms; the estimate may admit one
    // more.
    expect(refused).to.be.at.least(6);
    const replies = await harness.waitFor(Promise.all(answers));
    const ended = replies.filter(({type}) => type === 'ended');
    expect(ended).to.have.length.at.least(3);
  });

  it('refuses a job that finds no room, and runs none of its tasks', async () => {
    harness.upstream(0).runMs = 5_000;
    await harness.waitFor(harness.submitDurable('a', [step(2)]));
    const reply = await harness.waitFor(harness.submit('b'));
    expect(reply).to.deep.equal({
      type: 'refused',
      reason: 'not-in-time',
      retryAfterS: 1,
    });
    expect(harness.spans.some(s => s.task.startsWith('b'))).to.equal(false);
  });

  // Otherwise its tasks use capacity until the deadline, and are stopped then.
  // Guards against a refused burst that returns as a second burst.
  it('spreads the returns of the callers that it refuses', async () => {
    const replies = await harness.waitFor(Promise.all(submitAll(12)));
    const seconds = replies.flatMap(reply =>
      reply.type === 'refused' ? [reply.retryAfterS ?? 0] : [],
    );
    // The upstream does two such jobs a second.
    for (const second of new Set(seconds)) {
      expect(second).to.be.at.least(1);
      expect(seconds.filter(s => s === second)).to.have.length.at.most(2);
    }
  });

  it('accepts a job that can end late, but before its deadline, while capacity is free', async () => {
    const first = harness.submit('first', STEPS);
    await harness.advanceClock(20);
    const second = harness.submit('second', [step(2, {declaredMs: 900})]);
    expect(await harness.waitFor(first)).to.have.property('type', 'ended');
    expect(await harness.waitFor(second)).to.have.property('type', 'ended');
  });

  // Guards against slow orders that make upstreams look too slow for any job.
  it('refuses no job because of measured run times alone while upstreams are free', async () => {
    for (let i = 0; i < 12; i++) {
      await harness.waitFor(harness.submit(`s${i}`, [step(1)]));
    }
    const answer = harness.submit('new', [step(1, {declaredMs: 400})]);
    expect(await harness.waitFor(answer)).to.have.property('type', 'ended');
  });

  it('accepts jobs again once the work before them is done', async () => {
    const answers = submitAll(10);
    await harness.waitFor(Promise.all(answers));
    await harness.advanceClock(100);
    const reply = await harness.waitFor(harness.submit('new', STEPS));
    expect(reply).to.deep.equal({type: 'ended', state: 'completed'});
  });

  it('joins a repeated submission to the open job', async () => {
    const answers = submitAll(10);
    await harness.advanceClock(20);
    const again = harness.submit('j0', STEPS);
    expect(await harness.waitFor(again)).to.have.property('type', 'ended');
    await harness.waitFor(Promise.all(answers));
  });

  it('does not report that a job never ran when it had begun earlier', async () => {
    const first = harness.submit('a', STEPS);
    await harness.advanceClock(20);
    await harness.call({type: 'abandon', job: 'a'});
    expect(await harness.waitFor(first)).to.deep.equal({
      type: 'given-up',
    });
    await harness.advanceClock(100);
    const others = submitAll(10);
    await harness.advanceClock(20);
    const again = await harness.waitFor(harness.submit('a', STEPS));
    expect(again).to.have.property('type', 'given-up');
    expect(again).to.have.property('retryAfterS').that.is.at.least(1);
    await harness.waitFor(Promise.all(others));
  });

  it('does not refuse durable jobs', async () => {
    const answers = submitAll(10);
    await harness.advanceClock(20);
    const reply = await harness.waitFor(harness.submitDurable('stored', STEPS));
    expect(reply).to.deep.equal({type: 'accepted'});
    await harness.waitFor(Promise.all(answers));
  });
});
