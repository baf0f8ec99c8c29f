import {expect} from 'chai';

import {OrderTimeout} from '../../src/retries/order_timeout.js';

const BOUNDS = {minMs: 30, maxMs: 80};

function observe(answers: readonly number[]): number {
  const timeout = new OrderTimeout(BOUNDS);
  for (const ms of answers) timeout.recordAnswer(ms);
  return timeout.timeoutMs;
}

describe('OrderTimeout', () => {
  const cases = [
    {title: 'is the maximum before any answer', answers: [], expected: 80},
    {
      title: 'is the minimum while all answers come soon',
      answers: Array.from({length: 50}, () => 3),
      expected: 30,
    },
    {
      title: 'grows to the maximum while a busy machine delays all answers',
      answers: [
        ...Array.from({length: 50}, () => 3),
        ...Array.from({length: 10}, () => 60),
      ],
      expected: 80,
    },
    {
      title: 'returns to the minimum after the delay',
      answers: [
        ...Array.from({length: 10}, () => 60),
        ...Array.from({length: 60}, () => 3),
      ],
      expected: 30,
    },
  ];
  for (const {title, answers, expected} of cases) {
    it(title, () => expect(observe(answers)).to.equal(expected));
  }

  // Guards against look-ups of orders whose answers are only late.
  it('exceeds nearly all answer times that vary', () => {
    const timeout = new OrderTimeout(BOUNDS);
    let exceeded = 0;
    for (let i = 0; i < 1_000; i++) {
      const ms = 5 + ((i * 37) % 23);
      if (i > 50 && ms > timeout.timeoutMs) exceeded++;
      timeout.recordAnswer(ms);
    }
    expect(exceeded).to.equal(0);
  });
});
