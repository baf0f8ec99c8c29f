import {expect} from 'chai';

import {EndsCursor} from '../../src/owner/ends_cursor.js';
import type {RunEnd} from '../../src/upstreams/upstream_port.js';

function end(sequence: number): RunEnd {
  const task = {job: 'a', step: 0, index: sequence};
  return {sequence, task, run: 1, outcome: 'done'};
}

describe('EndsCursor', () => {
  it('takes an end that is listed again only once', () => {
    const cursor = new EndsCursor(0);
    expect(cursor.takeNewEnds([end(1), end(2)])).to.have.length(2);
    expect(cursor.takeNewEnds([end(1), end(2), end(3)])).to.deep.equal([
      end(3),
    ]);
  });

  it('takes no end that an earlier owner has committed', () => {
    expect(new EndsCursor(2).takeNewEnds([end(1), end(2)])).to.deep.equal([]);
  });

  it('tells the upstream nothing before ends are committed', () => {
    const cursor = new EndsCursor(0);
    cursor.takeNewEnds([end(1)]);
    expect(cursor.positionToAcknowledge).to.equal(0);
    expect(cursor.isIdle).to.equal(false);
  });

  it('tells a position until it was answered, and not again to a later life', () => {
    const cursor = new EndsCursor(0);
    cursor.takeNewEnds([end(1)]);
    cursor.markCommitted(1);
    expect(cursor.positionToAcknowledge).to.equal(1);
    cursor.markAcknowledged(1);
    expect(cursor.positionToAcknowledge).to.equal(0);
    expect(cursor.isIdle).to.equal(true);
  });
});
