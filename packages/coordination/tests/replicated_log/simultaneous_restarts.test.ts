/** All members killed at the same moment, and started again on their disks. */
import {expect} from 'chai';

import {TestCluster} from './test_cluster.js';

const FIRST_VOTERS = ['a', 'b', 'c'];
const NAMES = [...FIRST_VOTERS, 'd', 'e'];
const SEEDS = Array.from({length: 20}, (_, i) => i + 1);
const KILLS = 4;

/** Longest time in ms until a killed member is started again. */
const RESTART_MS = 1_000;

/** Longest time in ms until a leader commits, after the last start. */
const RECOVERY_MS = 3_000;

/** Largest number of terms that one recovery may take. */
const MAX_TERMS = 3;

/** Proposes commands and kills and restarts all members of a group. */
class RestartRun {
  readonly cluster: TestCluster;
  readonly acknowledged: string[] = [];
  private proposed = 0;

  /** @param firstVoters The voters at first; the others become voters. */
  constructor(seed: number, firstVoters: readonly string[]) {
    this.cluster = new TestCluster({
      mode: 'sync-everything',
      names: NAMES,
      seed,
      syncMs: 9,
      log: {
        voters: firstVoters.map(name => ({name, incarnation: '1'})),
        targetVoters: NAMES.length,
        heartbeatMs: 60,
        electionTimeoutMs: 600,
        calmElectionTimeoutMs: 300,
        replaceSilentAfterMs: 6_000,
        snapshotEveryEntries: 15,
      },
    });
  }

  /** Proposes a command every few ms, also while others are under way. */
  async propose(forMs: number): Promise<void> {
    const until = performance.now() + forMs;
    while (performance.now() < until) {
      const command = `${++this.proposed}`;
      this.cluster
        .findLeader()
        ?.log?.propose(command)
        .then(
          () => this.acknowledged.push(command),
          () => undefined,
        );
      await this.cluster.run(4);
    }
  }

  killAll(): void {
    for (const name of NAMES) this.cluster.crash(name);
  }

  /** Starts the members in any order, each within the second. */
  async restartAll(): Promise<void> {
    const {cluster} = this;
    const starts = NAMES.map(name => ({
      name,
      at: cluster.random() * RESTART_MS,
    })).sort((x, y) => x.at - y.at);
    let now = 0;
    for (const {name, at} of starts) {
      await cluster.run(at - now);
      now = at;
      await cluster.start(name);
    }
  }

  /** Waits until a new command is committed; returns the term. */
  async recover(): Promise<number> {
    const {cluster, acknowledged} = this;
    const before = acknowledged.length;
    const until = performance.now() + RECOVERY_MS;
    while (acknowledged.length === before && performance.now() < until) {
      await this.propose(20);
    }
    expect(acknowledged.length, 'progress').to.be.above(before);
    return (await cluster.waitForLeader()).log?.term ?? 0;
  }

  checkMembers(): void {
    const {cluster, acknowledged} = this;
    expect(cluster.violations).to.deep.equal([]);
    for (const {name, machine} of cluster.members.values()) {
      expect(machine.items, name).to.include.members(acknowledged);
      expect(new Set(machine.items).size).to.equal(machine.items.length);
    }
  }
}

describe('all members killed at the same moment', () => {
  for (const seed of SEEDS) {
    // Guards against acknowledged commands that were on no majority of disks,
    // against a series of elections among members that start one by one, and
    // against voters that are replaced although they have only restarted.
    it(`keep what was acknowledged, and lead again soon, seed ${seed}`, async () => {
      const run = new RestartRun(seed, NAMES);
      const {cluster} = run;
      try {
        await cluster.startAll();
        let term = (await cluster.waitForLeader()).log?.term ?? 0;
        for (let kill = 0; kill < KILLS; kill++) {
          await run.propose(cluster.random() * 2_000);
          run.killAll();
          await run.restartAll();
          const next = await run.recover();
          expect(next - term, 'terms').to.be.within(1, MAX_TERMS);
          term = next;
        }
        await cluster.run(2_000);
        run.checkMembers();
        const {voters} = (await cluster.waitForLeader()).log?.status() ?? {};
        expect(voters).to.have.length(NAMES.length);
      } finally {
        await cluster.close();
      }
    });

    // Guards against voters that disagree on the majority after the loss of all
    // members within a voter change.
    it(`complete a voter change that was under way, seed ${seed}`, async () => {
      const run = new RestartRun(seed, FIRST_VOTERS);
      const {cluster} = run;
      try {
        await cluster.startAll();
        await cluster.waitForLeader();
        // The two voter changes take about 70 ms.
        await run.propose(10 + cluster.random() * 60);
        run.killAll();
        await run.restartAll();
        await run.recover();
        await cluster.run(5_000);
        run.checkMembers();
        const {voters} = (await cluster.waitForLeader()).log?.status() ?? {};
        expect(voters).to.have.length(NAMES.length);
      } finally {
        await cluster.close();
      }
    });
  }
});
