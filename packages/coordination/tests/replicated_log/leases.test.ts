import {expect} from 'chai';

import type {
  LogCoreConfig,
  LogCoreState,
} from '../../src/replicated_log/core_state.js';
import {LeaseReader} from '../../src/replicated_log/leases.js';

const CFG: LogCoreConfig = {
  syncEverything: true,
  hasDisk: true,
  heartbeatMs: 60,
  electionTimeoutMs: 600,
  maxEntriesPerMessage: 10,
};

const MEMBERS = ['a', 'b', 'c'].map(name => ({name, incarnation: 'first'}));

/** A leader `a` that `b` and `c` last answered at the given times. */
function createState(
  acks: Readonly<Record<string, number>>,
  fields: Partial<LogCoreState<string>> = {},
): LogCoreState<string> {
  const [self] = MEMBERS;
  return {
    self,
    role: 'leader',
    leaseRevoked: false,
    leaderSince: 0,
    config: {voters: MEMBERS, outgoingVoters: null},
    progress: Object.fromEntries(
      Object.entries(acks).map(([name, ackedAt]) => [
        `${name}#first`,
        {ackedAt, promisedUntil: ackedAt + CFG.electionTimeoutMs},
      ]),
    ),
    ...fields,
  } as unknown as LogCoreState<string>;
}

describe('LeaseReader', () => {
  const reader = new LeaseReader<string>();
  const read = (state: LogCoreState<string>, now: number) =>
    reader.getRemainingMs(state, {now, cfg: CFG});

  it('counts the lease down between changes of the state', () => {
    const state = createState({b: 1_000, c: 900});
    expect(read(state, 1_000)).to.equal(600);
    expect(read(state, 1_400)).to.equal(200);
  });

  // Guards against a process that was paused and acts on a lease that ended
  // meanwhile.
  it('reports no lease after a pause that outlasts it', () => {
    const state = createState({b: 1_000, c: 900});
    expect(read(state, 1_000)).to.equal(600);
    expect(read(state, 1_600)).to.equal(0);
    expect(read(state, 60_000)).to.equal(0);
  });

  it('extends the lease once a member answers', () => {
    expect(read(createState({b: 1_000, c: 900}), 1_500)).to.equal(100);
    expect(read(createState({b: 1_500, c: 900}), 1_500)).to.equal(600);
  });

  const ended: readonly (readonly [string, Partial<LogCoreState<string>>])[] = [
    ['a transfer revokes the lease', {leaseRevoked: true}],
    ['this member follows another leader', {role: 'follower'}],
  ];
  for (const [title, fields] of ended) {
    it(`reports no lease as soon as ${title}`, () => {
      const acks = {b: 1_000, c: 1_000};
      expect(read(createState(acks), 1_000)).to.equal(600);
      expect(read(createState(acks, fields), 1_001)).to.equal(0);
    });
  }

  it('keeps the lease of a group of one without any event', () => {
    const config = {voters: MEMBERS.slice(0, 1), outgoingVoters: null};
    const state = createState({}, {config} as never);
    expect(read(state, 1_000)).to.equal(600);
    expect(read(state, 9_000)).to.equal(600);
  });
});
