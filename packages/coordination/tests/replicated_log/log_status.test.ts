import {expect} from 'chai';

import {createInitialState} from '../../src/replicated_log/core_state.js';
import {deriveStatus} from '../../src/replicated_log/log_status.js';

/** Applied state with getters on its prototype, like `MachineRunner`. */
class AppliedState {
  get appliedIndex(): number {
    return 7;
  }

  get recovered(): boolean {
    return true;
  }
}

describe('statusOf', () => {
  // Guards against values lost by spreading; no voter would become ready.
  it('reports values that are getters of a class', () => {
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
    const status = deriveStatus(state, new AppliedState(), {now: 0, cfg});
    expect(status).to.include({appliedIndex: 7, recovered: true});
  });
});
