import {expect} from 'chai';

import {
  createInitialState,
  type LogCoreConfig,
} from '../../src/replicated_log/core_state.js';
import type {MemberId} from '../../src/replicated_log/members.js';
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

describe('members that were removed', () => {
  // Guards against a member that ignores its leader for good, because its log
  // ends before the change that made the leader a voter again.
  it('are followed when they lead again', () => {
    const [a, b, c, d, f] = ['a', 'b', 'c', 'd', 'f'].map(name => ({
      name,
      incarnation: '1',
    })) as [MemberId, MemberId, MemberId, MemberId, MemberId];
    const replacement = {remove: f, add: d};
    const entry = {
      index: 1,
      term: 1,
      commands: [],
      durable: false,
      replacement,
    };
    let state = createInitialState<string>(
      {
        self: a,
        voters: [a, b, c, f],
        term: 1,
        votedFor: null,
        snapshot: null,
        entries: [entry],
        now: 0,
        random: 0,
      },
      CFG,
    );
    const append = {
      type: 'append' as const,
      to: '1',
      prevIndex: 1,
      prevTerm: 1,
      entries: [],
      commit: 1,
      round: 1,
    };
    const receive = (from: MemberId, term: number) => {
      const message = {...append, term};
      const event = {type: 'receive' as const, from, message};
      const result = step(state, {...event, now: 1, random: 0}, CFG);
      ({state} = result);
      return result.effects;
    };
    receive(b, 1);
    expect(state.config.removedKeys).to.deep.equal(['f#1']);
    receive(f, 2);
    expect(state.leader).to.deep.equal(f);
  });
});
