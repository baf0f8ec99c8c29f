import {expect} from 'chai';

import {computeOutageRetryAfterS} from '../../src/limits/outage_return.js';

describe('computeOutageRetryAfterS', () => {
  it('does not send all callers of a lost leader to the next one at once', () => {
    const counts = new Map<number, number>();
    for (let i = 0; i < 300; i++) {
      const after = computeOutageRetryAfterS({
        maxElectionMs: 1_200,
        fraction: i / 300,
      });
      counts.set(after, (counts.get(after) ?? 0) + 1);
    }
    expect([...counts]).to.deep.equal([
      [1, 100],
      [2, 100],
      [3, 100],
    ]);
  });
});
