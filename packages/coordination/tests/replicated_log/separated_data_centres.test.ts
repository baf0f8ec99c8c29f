/** Two data centres that cannot reach each other, while a third reaches both. */
import {expect} from 'chai';

import {TestCluster} from './test_cluster.js';

const NORTH = ['a', 'b'];
const SOUTH = ['c', 'd'];
const MIDDLE = ['e'];
const VOTERS = [...NORTH, ...SOUTH, ...MIDDLE];
const SPARES = {f: NORTH, g: SOUTH, h: MIDDLE};

/** Time in ms in which the data centres are separated. */
const SEPARATED_MS = 30_000;

/** Elections until a leader is found that a majority reaches. */
const MAX_ELECTIONS = 3;

describe('two data centres that cannot reach each other', () => {
  let cluster: TestCluster;
  let elections: string[] = [];

  async function setUp(names: readonly string[], seed: number): Promise<void> {
    cluster = new TestCluster({
      mode: 'sync-everything',
      names,
      seed,
      syncMs: 9,
      log: {
        voters: VOTERS.map(name => ({name, incarnation: '1'})),
        targetVoters: 5,
        heartbeatMs: 60,
        electionTimeoutMs: 600,
        calmElectionTimeoutMs: 300,
        replaceSilentAfterMs: 6_000,
        onElection: ({cause}) => elections.push(cause),
      },
    });
    await cluster.startAll();
    await cluster.waitForLeader();
    await cluster.run(3_000);
  }

  afterEach(async () => {
    await cluster.close();
    expect(cluster.violations).to.deep.equal([]);
  });

  function separate(north: readonly string[], south: readonly string[]): void {
    for (const a of north) {
      for (const b of south) {
        cluster.block(a, b);
        cluster.block(b, a);
        // Connections to the leader are lost at once.
        cluster.getLog(a).reportPeerLost(b);
        cluster.getLog(b).reportPeerLost(a);
      }
    }
  }

  async function lead(name: string): Promise<void> {
    const {name: current} = await cluster.waitForLeader();
    if (current === name) return;
    const to = {name, incarnation: '1'};
    cluster.getLog(current).transferLeadership(to);
    await cluster.run(5_000);
    expect(cluster.findLeader()?.name).to.equal(name);
  }

  /** Returns how many members have led, and the proposals without an answer. */
  async function observe(): Promise<{leaders: number; unanswered: number}> {
    const terms = new Set<number>();
    let proposed = 0;
    let answered = 0;
    for (let ms = 0; ms < SEPARATED_MS; ms += 50) {
      await cluster.run(50);
      const leading = [...cluster.members.values()].filter(
        ({log}) => log && log.status().leaseMs > 0,
      );
      expect(leading.length, `leases after ${ms} ms`).to.be.at.most(1);
      const leader = cluster.findLeader();
      if (!leader?.log) continue;
      terms.add(leader.log.term);
      if (ms % 500 !== 0) continue;
      proposed++;
      void leader.log.propose(`${ms}`).then(
        () => answered++,
        () => undefined,
      );
    }
    await cluster.run(1_000);
    return {leaders: terms.size, unanswered: proposed - answered};
  }

  for (const [first = ''] of [NORTH, MIDDLE]) {
    for (const seed of [1, 2, 3, 4, 5]) {
      // Guards against members that miss the leader and take over from it in
      // turns.
      it(`keep one leader, ${first}, without spare members, seed ${seed}`, async () => {
        await setUp(VOTERS, seed);
        await lead(first);
        elections = [];
        separate(NORTH, SOUTH);
        expect(await observe()).to.deep.equal({leaders: 1, unanswered: 0});
        expect(cluster.findLeader()?.name).to.equal(first);
        expect(elections.length).to.be.at.most(SOUTH.length);
        cluster.heal();
        await cluster.run(3_000);
        expect(cluster.findLeader()?.name).to.equal(first);
      });

      // Guards against spare members that replace voters of the other side in
      // turns, and against a leader that loses its majority by that.
      it(`keep one leader, ${first}, with spare members, seed ${seed}`, async () => {
        await setUp([...VOTERS, ...Object.keys(SPARES)], seed);
        await lead(first);
        elections = [];
        separate([...NORTH, 'f'], [...SOUTH, 'g']);
        expect(await observe()).to.deep.equal({leaders: 1, unanswered: 0});
        expect(elections.length).to.be.at.most(SOUTH.length);
      });
    }
  }

  for (const seed of [1, 2, 3, 4, 5]) {
    // Guards against a series of elections when the leader cannot reach a
    // majority: the data centre that reaches both has too few voters.
    it(`elect a leader that a majority reaches, seed ${seed}`, async () => {
      await setUp(VOTERS, seed);
      await lead('a');
      elections = [];
      // The leader's own data centre is split, so that it reaches only two.
      separate(['a'], ['b', ...SOUTH]);
      const {leaders} = await observe();
      expect(leaders).to.be.at.most(MAX_ELECTIONS);
      expect(elections.length).to.be.at.most(VOTERS.length + MAX_ELECTIONS);
      expect(cluster.findLeader()?.name).not.to.equal('a');
    });
  }
});
