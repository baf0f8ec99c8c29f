import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import type {LogEffect} from '../../src/replicated_log/core_events.js';
import {CoreRunner} from '../../src/replicated_log/core_runner.js';
import {
  createInitialState,
  type LogCoreState,
} from '../../src/replicated_log/core_state.js';
import {leaseUntil} from '../../src/replicated_log/leases.js';
import {step} from '../../src/replicated_log/step.js';

const CFG = {
  syncEverything: false,
  hasDisk: false,
  heartbeatMs: 10,
  electionTimeoutMs: 40,
  maxEntriesPerMessage: 10,
};
const SELF = {name: 'a', incarnation: '1'};
const B = {name: 'b', incarnation: '1'};
const C = {name: 'c', incarnation: '1'};
const START = {
  self: SELF,
  voters: [SELF, B, C],
  term: 1,
  votedFor: null,
  snapshot: null,
  entries: [],
};

/** A leader since 100 that sent its last round then. */
function leaderAt100(): LogCoreState<string> {
  const clock = {now: 100, random: 0};
  const first = createInitialState<string>({...START, now: 0, random: 0}, CFG);
  let state = step(first, {type: 'tick', ...clock}, CFG).state;
  for (const pre of [true, false]) {
    const message = {
      type: 'vote-reply' as const,
      to: '1',
      term: 2,
      pre,
      granted: true,
    };
    const event = {type: 'receive' as const, from: B, message, ...clock};
    state = step(state, event, CFG).state;
  }
  expect(state.role).to.equal('leader');
  return state;
}

describe('members that are late themselves', () => {
  // A busy leader took its own delay for the silence of the others; the
  // election cost every caller more than the delay.
  it('a late leader sends a round before it gives up', () => {
    const state = leaderAt100();
    const clock = {now: 170, random: 0};
    const late = step(state, {type: 'tick', ...clock}, CFG);
    expect(late.state.role).to.equal('leader');
    expect(sentTypes(late.effects)).to.include('append');
    expect(leaseUntil(late.state, {now: 170, cfg: CFG})).to.be.below(170);
    const reply = {
      type: 'append-reply' as const,
      to: '1',
      term: 2,
      ok: true,
      match: 1,
      synced: 0,
      disk: false,
      round: late.state.round,
    };
    const heard = step(
      late.state,
      {type: 'receive', from: B, message: reply, ...clock},
      CFG,
    );
    const later = step(heard.state, {type: 'tick', now: 200, random: 0}, CFG);
    expect(later.state.role).to.equal('leader');
    expect(leaseUntil(later.state, {now: 200, cfg: CFG})).to.equal(210);
  });

  it('a leader without answers gives up', () => {
    const state = leaderAt100();
    const late = step(state, {type: 'tick', now: 180, random: 0}, CFG);
    expect(late.state.role).to.equal('follower');
  });

  describe('with a clock', () => {
    let clock: Clock;

    beforeEach(() => {
      clock = fakeTimers.install({
        toFake: ['setTimeout', 'clearTimeout', 'performance'],
      });
    });

    afterEach(() => {
      clock.uninstall();
    });

    // Messages that are sent after the input of a turn leave a turn later.
    it('a heartbeat goes out in the turn in which it is due', async () => {
      const sent: string[] = [];
      const runner = startRunner(sent);
      await clock.tickAsync(CFG.electionTimeoutMs + 1);
      for (const pre of [true, false]) {
        const vote = {type: 'vote-reply' as const, to: '1', term: 2};
        const message = {...vote, pre, granted: true};
        runner.dispatch({type: 'receive', from: B, message});
      }
      expect(runner.state.role).to.equal('leader');
      sent.length = 0;
      clock.tick(CFG.heartbeatMs);
      runner.close();
      expect(sent).to.deep.equal(['append', 'append']);
    });

    it('a late follower reads what has arrived before it campaigns', async () => {
      const sent: string[] = [];
      const runner = startRunner(sent);
      // The turn of the event loop that runs the late timer reads this next.
      setTimeout(
        () =>
          runner.dispatch({
            type: 'receive',
            from: B,
            message: {
              type: 'append',
              to: '1',
              term: 1,
              prevIndex: 0,
              prevTerm: 0,
              entries: [],
              commit: 0,
              round: 1,
            },
          }),
        CFG.electionTimeoutMs,
      );
      clock.jump(10 * CFG.electionTimeoutMs);
      await clock.tickAsync(1);
      runner.close();
      expect(sent).to.deep.equal(['append-reply']);
    });
  });
});

/** Starts a member that notes the types of what it sends. */
function startRunner(sent: string[]): CoreRunner<string> {
  const runner = new CoreRunner<string>({
    cfg: CFG,
    start: START,
    random: () => 0,
    onStep: (_event, _before, effects) => sent.push(...sentTypes(effects)),
    onTick: () => undefined,
  });
  runner.schedule();
  return runner;
}

function sentTypes(effects: readonly LogEffect<string>[]): readonly string[] {
  return effects.flatMap(e => (e.type === 'send' ? e.message.type : []));
}
