import {expect} from 'chai';

import {createInitialState} from '../../src/replicated_log/core_state.js';
import {statusOf} from '../../src/replicated_log/log_status.js';

/** Progress with getters on its prototype, as the driver's machine has. */
class Applied {
  get appliedIndex(): number {
    return 7;
  }

  get recovered(): boolean {
    return true;
  }
}

describe('statusOf', () => {
  it('reports progress that getters hold, so that a voter becomes ready', () => {
    const self = {name: 'a', incarnation: '1'};
    const cfg = {
      syncEverything: true,
      hasDisk: true,
      heartbeatMs: 100,
      electionTimeoutMs: 400,
      maxEntriesPerMessage: 64,
    };
    const start = {
      self,
      voters: [self],
      term: 0,
      votedFor: null,
      snapshot: null,
      entries: [],
      now: 0,
      random: 0,
    };
    const state = createInitialState(start, cfg);
    const status = statusOf(state, new Applied(), {now: 0, cfg});
    expect(status).to.include({appliedIndex: 7, recovered: true});
  });
});
