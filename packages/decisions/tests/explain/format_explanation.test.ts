import {expect} from 'chai';

import {formatExplanation} from '../../src/explain/format_explanation.js';

describe('formatExplanation', () => {
  it('orders steps by time and names the reason and the answer', () => {
    const text = formatExplanation([
      {
        atMs: 1_005,
        taskId: '0',
        step: 'routed',
        reason: 'fastest-end',
        detail: 'u1',
      },
      {
        atMs: 1_000,
        taskId: '',
        step: 'refused',
        reason: 'queue-full',
        detail: '',
        answer: 'a.kind:k.queue_limit',
      },
    ]);
    expect(text.split('\n')).to.deep.equal([
      '     +0 ms  job refused: queue-full (the queue of the kind is full) [answer a.kind:k.queue_limit]',
      '     +5 ms  task 0 routed: fastest-end (the upstream is expected to end the task soonest) u1',
    ]);
  });

  it('keeps a reason that this version does not know', () => {
    const step = {
      atMs: 0,
      taskId: '',
      step: 'waited',
      reason: 'toString',
      detail: '',
    } as const;
    expect(formatExplanation([step])).to.equal(
      '     +0 ms  job waited: toString',
    );
  });
});
