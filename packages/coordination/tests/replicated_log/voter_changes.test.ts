import {expect} from 'chai';

import {TestCluster} from './test_cluster.js';

const VOTERS = ['a', 'b', 'c'].map(name => ({name, incarnation: '1'}));

let cluster: TestCluster;

async function proposeAndWait(command: string): Promise<void> {
  const leader = await cluster.waitForLeader();
  const proposed = cluster.getLog(leader.name).propose(command);
  await cluster.run(500);
  await proposed;
}

async function getVoterNames(): Promise<string[]> {
  const leader = await cluster.waitForLeader();
  const {voters} = cluster.getLog(leader.name).status();
  return voters.map(({name}) => name).sort();
}

describe('ReplicatedLog with fewer voters than targetVoters', () => {
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
    await cluster.waitForLeader();
    await cluster.run(4_000);
    const names = await getVoterNames();
    expect(names).to.have.length(5);
    expect(names).to.include.members(['a', 'b', 'c']);
  });

  it('keeps acknowledged commands when two of five voters crash at once', async () => {
    await cluster.startAll();
    await cluster.waitForLeader();
    await cluster.run(4_000);
    await proposeAndWait('one');
    const leader = (await cluster.waitForLeader()).name;
    const lost = [
      leader,
      (await getVoterNames()).find(n => n !== leader) ?? '',
    ];
    for (const name of lost) cluster.crash(name);
    await proposeAndWait('two');
    const next = await cluster.waitForLeader();
    expect(next.machine.items).to.include.members(['one', 'two']);
  });

  it('adds no voter while the group has no majority', async () => {
    for (const name of ['a', 'd', 'e']) await cluster.start(name);
    await cluster.run(4_000);
    expect(cluster.findLeader()).to.equal(undefined);
    for (const name of ['b', 'c']) await cluster.start(name);
    await cluster.run(6_000);
    expect(await getVoterNames()).to.deep.equal(['a', 'b', 'c', 'd', 'e']);
  });
});

describe('ReplicatedLog with a spare member', () => {
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
    await cluster.waitForLeader();
  }

  afterEach(async () => {
    expect(cluster.violations).to.deep.equal([]);
    await cluster.close();
  });

  /** Crashes a voter that is not the leader and returns its name. */
  async function crashFollower(): Promise<string> {
    const leader = (await cluster.waitForLeader()).name;
    const {voters} = cluster.getLog(leader).status();
    const name = voters.map(v => v.name).find(n => n !== leader) ?? '';
    cluster.crash(name);
    return name;
  }

  it('replaces a voter that stays silent with the spare member', async () => {
    await start(1_000);
    await proposeAndWait('one');
    const lost = await crashFollower();
    await cluster.run(4_000);
    expect(await getVoterNames())
      .to.include('d')
      .and.not.include(lost);
  });

  it('survives the next loss with the new voter', async () => {
    await start(1_000);
    await proposeAndWait('one');
    await crashFollower();
    await cluster.run(4_000);
    const leader = (await cluster.waitForLeader()).name;
    const other = (await getVoterNames()).find(n => n !== leader && n !== 'd');
    cluster.crash(other ?? '');
    await proposeAndWait('two');
    expect(cluster.getMember('d').machine.snapshot()).to.deep.equal(
      cluster.getMember(leader).machine.snapshot(),
    );
  });

  it('is not disturbed by a replaced voter that returns', async () => {
    await start(1_000);
    const lost = await crashFollower();
    await cluster.run(4_000);
    const before = await getVoterNames();
    await cluster.start(lost);
    await cluster.run(4_000);
    await proposeAndWait('one');
    expect(await getVoterNames()).to.deep.equal(before);
  });

  it('keeps a voter that is silent for less than the limit', async () => {
    await start(3_000);
    const lost = await crashFollower();
    await cluster.run(2_000);
    await cluster.start(lost);
    await cluster.run(4_000);
    expect(await getVoterNames()).to.deep.equal(['a', 'b', 'c']);
  });

  it('replaces no voter by another member by default', async () => {
    await start();
    await crashFollower();
    await cluster.run(20_000);
    expect(await getVoterNames()).to.deep.equal(['a', 'b', 'c']);
  });
});
