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
  // Found by schedules with generator seed 3, path 78: a later leader that
  // never saw the replacement heard nothing from the new incarnation.
  it('a member whose promotion did not commit keeps asking to join', () => {
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
