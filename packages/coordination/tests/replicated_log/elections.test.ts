import {expect} from 'chai';

import {
  createInitialState,
  type LogCoreConfig,
} from '../../src/replicated_log/core_state.js';
import {step} from '../../src/replicated_log/step.js';

const CFG: LogCoreConfig = {
  syncEverything: false,
  hasDisk: false,
  heartbeatMs: 10,
  electionTimeoutMs: 40,
  maxEntriesPerMessage: 10,
};

describe('campaign', () => {
  // Guards against a member that stays cut off because a later leader lacks the
  // uncommitted entry that made it a voter, so it does not replicate to it.
  // Found by the fault schedules with generator seed 3, path 78.
  it('keeps asking to join while its own promotion is uncommitted', () => {
    const voters = ['a', 'b', 'c'].map(name => ({name, incarnation: '1'}));
    const self = {name: 'c', incarnation: '2'};
    const replacement = {remove: {name: 'c', incarnation: '1'}, add: self};
    const entry = {
      index: 1,
      term: 1,
      commands: [],
      durable: false,
      replacement,
    };
    const state = createInitialState<string>(
      {
        self,
        voters,
        term: 1,
        votedFor: null,
        snapshot: null,
        entries: [entry],
        now: 0,
        random: 0,
      },
      CFG,
    );
    const {effects} = step(state, {type: 'tick', now: 100, random: 0}, CFG);
    const sent = effects.flatMap(e =>
      e.type === 'send' ? e.message.type : [],
    );
    expect(sent).to.include.members(['join', 'vote']);
  });
});
