import {expect} from 'chai';

import {TestCluster} from './test_cluster.js';

const VOTERS = ['a', 'b', 'c'].map(name => ({name, incarnation: '1'}));

let cluster: TestCluster;

async function propose(command: string): Promise<void> {
  const leader = await cluster.untilLeader();
  const proposed = cluster.logOf(leader.name).propose(command);
  await cluster.run(500);
  await proposed;
}

async function voterNames(): Promise<string[]> {
  const leader = await cluster.untilLeader();
  const {voters} = cluster.logOf(leader.name).status();
  return voters.map(({name}) => name).sort();
}

describe('ReplicatedLog that grows', () => {
  beforeEach(async () => {
    cluster = new TestCluster({
      mode: 'sync-everything',
      names: ['a', 'b', 'c', 'd', 'e', 'f'],
      log: {voters: VOTERS, targetVoters: 5},
    });
  });

  afterEach(async () => {
    expect(cluster.violations).to.deep.equal([]);
    await cluster.close();
  });

  it('adds voters up to the target and no further', async () => {
    await cluster.startAll();
    await cluster.untilLeader();
    await cluster.run(4_000);
    const names = await voterNames();
    expect(names).to.have.length(5);
    expect(names).to.include.members(['a', 'b', 'c']);
  });

  it('keeps what was acknowledged when two voters lose everything at once', async () => {
    await cluster.startAll();
    await cluster.untilLeader();
    await cluster.run(4_000);
    await propose('one');
    const leader = (await cluster.untilLeader()).name;
    const lost = [leader, (await voterNames()).find(n => n !== leader) ?? ''];
    for (const name of lost) cluster.crash(name);
    await propose('two');
    const next = await cluster.untilLeader();
    expect(next.machine.items).to.include.members(['one', 'two']);
  });

  it('adds no voter while the group has no majority', async () => {
    for (const name of ['a', 'd', 'e']) await cluster.start(name);
    await cluster.run(4_000);
    expect(cluster.leader()).to.equal(undefined);
    for (const name of ['b', 'c']) await cluster.start(name);
    await cluster.run(6_000);
    expect(await voterNames()).to.deep.equal(['a', 'b', 'c', 'd', 'e']);
  });
});

describe('ReplicatedLog with a member to spare', () => {
  async function start(replaceSilentAfterMs?: number): Promise<void> {
    cluster = new TestCluster({
      mode: 'sync-everything',
      names: ['a', 'b', 'c', 'd'],
      log: {
        voters: VOTERS,
        ...(replaceSilentAfterMs === undefined ? {} : {replaceSilentAfterMs}),
      },
    });
    await cluster.startAll();
    await cluster.untilLeader();
  }

  afterEach(async () => {
    expect(cluster.violations).to.deep.equal([]);
    await cluster.close();
  });

  /** Crashes a voter that doesn't lead; returns its name. */
  async function crashFollower(): Promise<string> {
    const leader = (await cluster.untilLeader()).name;
    const {voters} = cluster.logOf(leader).status();
    const name = voters.map(v => v.name).find(n => n !== leader) ?? '';
    cluster.crash(name);
    return name;
  }

  it('puts it in the place of a voter that stays silent', async () => {
    await start(1_000);
    await propose('one');
    const lost = await crashFollower();
    await cluster.run(4_000);
    expect(await voterNames())
      .to.include('d')
      .and.not.include(lost);
  });

  it('survives the next loss with the new voter', async () => {
    await start(1_000);
    await propose('one');
    await crashFollower();
    await cluster.run(4_000);
    const leader = (await cluster.untilLeader()).name;
    const other = (await voterNames()).find(n => n !== leader && n !== 'd');
    cluster.crash(other ?? '');
    await propose('two');
    expect(cluster.member('d').machine.snapshot()).to.deep.equal(
      cluster.member(leader).machine.snapshot(),
    );
  });

  it('does not let a replaced voter disturb the group when it returns', async () => {
    await start(1_000);
    const lost = await crashFollower();
    await cluster.run(4_000);
    const before = await voterNames();
    await cluster.start(lost);
    await cluster.run(4_000);
    await propose('one');
    expect(await voterNames()).to.deep.equal(before);
  });

  it('keeps a voter that is silent for less than the limit', async () => {
    await start(3_000);
    const lost = await crashFollower();
    await cluster.run(2_000);
    await cluster.start(lost);
    await cluster.run(4_000);
    expect(await voterNames()).to.deep.equal(['a', 'b', 'c']);
  });

  it('replaces no voter by another member unless it is asked to', async () => {
    await start();
    await crashFollower();
    await cluster.run(20_000);
    expect(await voterNames()).to.deep.equal(['a', 'b', 'c']);
  });
});
