import {expect} from 'chai';

import {
  configOf,
  createInitialState,
} from '../../src/replicated_log/core_state.js';
import {step} from '../../src/replicated_log/step.js';

const CFG = {
  syncEverything: false,
  hasDisk: false,
  heartbeatMs: 10,
  electionTimeoutMs: 40,
  maxEntriesPerMessage: 10,
};
const OLD = ['a', 'b', 'c'].map(name => ({name, incarnation: '1'}));
const ADD = {name: 'b', incarnation: '2'};
const NEW = [OLD[0], ADD, OLD[2]];

function stateAt(commitIndex: number, closed: boolean) {
  const content = {term: 1, commands: [], durable: false};
  const replacement = {remove: {name: 'b', incarnation: '1'}, add: ADD};
  const closing = closed ? {closes: 1} : {};
  const entries = [
    {...content, index: 1, replacement},
    {...content, index: 2, ...closing},
  ];
  const start = {term: 1, votedFor: null, snapshot: null, now: 0, random: 0};
  const self = {name: 'a', incarnation: '1'};
  const state = createInitialState<string>(
    {...start, self, voters: OLD, entries},
    CFG,
  );
  const committed = {...state, commitIndex};
  return {...committed, config: configOf(committed)};
}

describe('configOf', () => {
  const cases = [
    {commit: 0, closed: false, outgoingVoters: OLD, beforeRepair: OLD},
    {commit: 1, closed: false, outgoingVoters: null, beforeRepair: OLD},
    {commit: 0, closed: true, outgoingVoters: null, beforeRepair: OLD},
    {commit: 2, closed: true, outgoingVoters: null, beforeRepair: null},
  ];
  for (const {commit, closed, outgoingVoters, beforeRepair} of cases) {
    const entry = closed ? 'with' : 'without';
    it(`commit index ${commit} ${entry} a closing entry: neither too few votes nor an early complete repair`, () => {
      const {config} = stateAt(commit, closed);
      expect(config).to.deep.include({
        voters: NEW,
        outgoingVoters,
        beforeRepair,
      });
    });
  }

  it('a snapshot never hides that a repair is incomplete', () => {
    const data = new Uint8Array();
    const clock = {now: 1, random: 0};
    const event = {type: 'snapshot-taken' as const, index: 1, data, ...clock};
    const open = step(stateAt(1, true), event, CFG).state;
    expect(open.snapshot.index).to.equal(0);
    const done = step(stateAt(2, true), {...event, index: 2}, CFG).state;
    expect(done.snapshot).to.deep.include({index: 2, voters: NEW});
  });
});
