import {expect} from 'chai';

import {
  createInitialState,
  type LogCoreConfig,
  type LogCoreState,
} from '../../src/replicated_log/core_state.js';
import {createProgress} from '../../src/replicated_log/elections.js';
import {getMemberKey, type MemberId} from '../../src/replicated_log/members.js';
import {step} from '../../src/replicated_log/step.js';

const CFG: LogCoreConfig = {
  syncEverything: false,
  hasDisk: false,
  heartbeatMs: 60,
  electionTimeoutMs: 600,
  maxEntriesPerMessage: 10,
  targetVoters: 3,
  replaceSilentAfterMs: 6_000,
};

const VOTER = {name: 'a', incarnation: '1'};
const LIVE_VOTER = {name: 'b', incarnation: '1'};
const SILENT_VOTER = {name: 'c', incarnation: '1'};
const LEARNER = {name: 'd', incarnation: '1'};

function createState(
  self: MemberId,
  voters: readonly MemberId[],
): LogCoreState<string> {
  const start = {self, voters, term: 1, votedFor: null, snapshot: null};
  return createInitialState<string>(
    {...start, entries: [], now: 0, random: 0},
    CFG,
  );
}

describe('learners', () => {
  // Guards against members without a vote that send several hundred messages a
  // second for as long as the leader has no need of them.
  it('ask seldom after their first requests were not granted', () => {
    let state = createState(LEARNER, [VOTER]);
    const requestTimes: number[] = [];
    for (let now = 0; now < 60_000; now += 10) {
      const result = step(state, {type: 'tick', now, random: 0}, CFG);
      ({state} = result);
      if (result.effects.some(({type}) => type === 'send')) {
        requestTimes.push(now);
      }
    }
    const inFirstSecond = requestTimes.filter(at => at < 1_000).length;
    const inLastTenSeconds = requestTimes.filter(at => at >= 50_000).length;
    expect(inFirstSecond).to.be.above(15);
    expect(inLastTenSeconds).to.be.within(16, 17);
  });

  // Guards against a silent voter that is replaced later because members ask
  // seldom: the leader remembers a request that it could not grant.
  it('are added when a voter may be replaced, without another request', () => {
    const live = {...createProgress(LIVE_VOTER, 1, 0), ackedAt: 6_000};
    let state: LogCoreState<string> = {
      ...createState(VOTER, [VOTER, LIVE_VOTER, SILENT_VOTER]),
      role: 'leader',
      leader: VOTER,
      registeredIncarnations: {[LEARNER.name]: LEARNER.incarnation},
      progress: {
        [getMemberKey(LIVE_VOTER)]: live,
        [getMemberKey(SILENT_VOTER)]: createProgress(SILENT_VOTER, 1, 0),
      },
    };
    const message = {type: 'join', term: 1, to: ''} as const;
    const request = {type: 'receive', from: LEARNER, message} as const;
    state = step(state, {...request, now: 5_900, random: 0}, CFG).state;
    state = step(state, {type: 'tick', now: 5_990, random: 0}, CFG).state;
    expect(state.progress).not.to.have.property(getMemberKey(LEARNER));
    state = step(state, {type: 'tick', now: 6_060, random: 0}, CFG).state;
    expect(state.progress).to.have.property(getMemberKey(LEARNER));
  });
});
