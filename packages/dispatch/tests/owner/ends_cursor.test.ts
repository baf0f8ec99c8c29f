import {expect} from 'chai';

import {EndsCursor} from '../../src/owner/ends_cursor.js';
import type {RunEnd} from '../../src/upstreams/upstream_port.js';

function end(sequence: number): RunEnd {
  const task = {job: 'a', step: 0, index: sequence};
  return {sequence, task, run: 1, outcome: 'done'};
}

describe('EndsCursor', () => {
  it('returns an end that is listed again only once', () => {
    const cursor = new EndsCursor(0);
    expect(cursor.takeNewEnds([end(1), end(2)])).to.have.length(2);
    expect(cursor.takeNewEnds([end(1), end(2), end(3)])).to.deep.equal([
      end(3),
    ]);
  });

  it('returns no end that an earlier owner has committed', () => {
    expect(new EndsCursor(2).takeNewEnds([end(1), end(2)])).to.deep.equal([]);
  });

  it('acknowledges nothing before ends are committed', () => {
    const cursor = new EndsCursor(0);
    cursor.takeNewEnds([end(1)]);
    expect(cursor.positionToAcknowledge).to.equal(0);
    expect(cursor.isIdle).to.equal(false);
  });

  it('acknowledges a position until it is answered, and not to a later incarnation', () => {
    const cursor = new EndsCursor(0);
    cursor.takeNewEnds([end(1)]);
    cursor.markCommitted(1);
    expect(cursor.positionToAcknowledge).to.equal(1);
    cursor.markAcknowledged(1);
    expect(cursor.positionToAcknowledge).to.equal(0);
    expect(cursor.isIdle).to.equal(true);
  });
});
