import {expect} from 'chai';

import {createInitialState} from '../../src/replicated_log/core_state.js';
import {step} from '../../src/replicated_log/step.js';
import {deriveVoterConfig} from '../../src/replicated_log/voter_config.js';

const CFG = {
  syncEverything: false,
  hasDisk: false,
  heartbeatMs: 10,
  electionTimeoutMs: 40,
  maxEntriesPerMessage: 10,
};
const OLD_VOTERS = ['a', 'b', 'c'].map(name => ({name, incarnation: '1'}));
const ADDED_VOTER = {name: 'b', incarnation: '2'};
const NEW_VOTERS = [OLD_VOTERS[0], ADDED_VOTER, OLD_VOTERS[2]];

function createState(commitIndex: number, closed: boolean) {
  const content = {term: 1, commands: [], durable: false};
  const replacement = {remove: {name: 'b', incarnation: '1'}, add: ADDED_VOTER};
  const closing = closed ? {closes: 1} : {};
  const entries = [
    {...content, index: 1, replacement},
    {...content, index: 2, ...closing},
  ];
  const start = {term: 1, votedFor: null, snapshot: null, now: 0, random: 0};
  const self = {name: 'a', incarnation: '1'};
  const state = createInitialState<string>(
    {...start, self, voters: OLD_VOTERS, entries},
    CFG,
  );
  const committed = {...state, commitIndex};
  return {...committed, config: deriveVoterConfig(committed)};
}

describe('configOf', () => {
  const cases = [
    {
      commit: 0,
      closed: false,
      outgoingVoters: OLD_VOTERS,
      votersBeforeChange: OLD_VOTERS,
    },
    {
      commit: 1,
      closed: false,
      outgoingVoters: null,
      votersBeforeChange: OLD_VOTERS,
    },
    {
      commit: 0,
      closed: true,
      outgoingVoters: null,
      votersBeforeChange: OLD_VOTERS,
    },
    {commit: 2, closed: true, outgoingVoters: null, votersBeforeChange: null},
  ];
  // Guards against elections decided by too few votes, and against a voter
  // change that looks complete before its closing entry is committed.
  for (const {commit, closed, outgoingVoters, votersBeforeChange} of cases) {
    const entry = closed ? 'with' : 'without';
    it(`derives the voter sets at commit index ${commit} ${entry} a closing entry`, () => {
      const {config} = createState(commit, closed);
      expect(config).to.deep.include({
        voters: NEW_VOTERS,
        outgoingVoters,
        votersBeforeChange,
      });
    });
  }

  // Guards against a snapshot that makes an incomplete change look complete.
  it('takes no snapshot while a voter change is incomplete', () => {
    const data = new Uint8Array();
    const clock = {now: 1, random: 0};
    const event = {type: 'snapshot-taken' as const, index: 1, data, ...clock};
    const open = step(createState(1, true), event, CFG).state;
    expect(open.snapshot.index).to.equal(0);
    const done = step(createState(2, true), {...event, index: 2}, CFG).state;
    expect(done.snapshot).to.deep.include({index: 2, voters: NEW_VOTERS});
  });
});
