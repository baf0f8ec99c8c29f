import {expect} from 'chai';

import {TestCluster} from './test_cluster.js';

const NAMES = ['a', 'b', 'c', 'd', 'e'];
const HEARTBEAT_MS = 60;
const FULL_TIMEOUT_MS = 600;
const CALM_TIMEOUT_MS = 300;

/** Time in ms of even messages after which a leader counts as calm. */
const CALM_AFTER_MS = 10_000;

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

function createCluster(seed: number): TestCluster {
  return new TestCluster({
    mode: 'sync-everything',
    names: NAMES,
    seed,
    syncMs: 9,
    log: {
      heartbeatMs: HEARTBEAT_MS,
      electionTimeoutMs: FULL_TIMEOUT_MS,
      calmElectionTimeoutMs: CALM_TIMEOUT_MS,
    },
  });
}

describe('contact with the leader', () => {
  for (const seed of SEEDS) {
    // Guards against callers that wait a second and more for the next leader.
    it(`replaces a calm leader that falls silent within two calm timeouts, seed ${seed}`, async () => {
      const cluster = createCluster(seed);
      try {
        await cluster.startAll();
        const first = await cluster.waitForLeader();
        await cluster.run(CALM_AFTER_MS);
        const {term} = cluster.getLog(first.name);
        cluster.isolate(first.name);
        await cluster.run(2 * CALM_TIMEOUT_MS);
        const next = cluster.findLeader();
        expect(next?.name).to.not.equal(first.name);
        expect(cluster.getLog(next?.name ?? '').term).to.be.above(term);
      } finally {
        await cluster.close();
      }
    });

    // Guards against elections that add to the load of a busy leader.
    it(`keeps a leader whose messages come in bursts, seed ${seed}`, async () => {
      const cluster = createCluster(seed);
      try {
        await cluster.startAll();
        const leader = await cluster.waitForLeader();
        const {term} = cluster.getLog(leader.name);
        for (let turn = 0; turn < 40; turn++) {
          cluster.isolate(leader.name);
          await cluster.run(FULL_TIMEOUT_MS - 3 * HEARTBEAT_MS);
          cluster.heal();
          await cluster.run(2 * HEARTBEAT_MS);
        }
        expect(cluster.findLeader()?.name).to.equal(leader.name);
        expect(cluster.getLog(leader.name).term).to.equal(term);
      } finally {
        await cluster.close();
      }
    });
  }

  // Guards against a vote for another leader while a lease relies on a promise
  // that was longer than the present one.
  it('promises an earlier program the full timeout', async () => {
    const cluster = createCluster(1);
    try {
      await cluster.startAll();
      const leader = await cluster.waitForLeader();
      await cluster.run(CALM_AFTER_MS);
      const follower = NAMES.find(name => name !== leader.name) ?? '';
      const {term} = cluster.getLog(leader.name);
      cluster.isolate(follower);
      cluster.sent.length = 0;
      cluster.getLog(follower).receive(cluster.getMemberId(leader), {
        type: 'append',
        to: '1',
        term,
        prevIndex: 0,
        prevTerm: 0,
        entries: [],
        commit: 0,
        round: 1_000_000,
      });
      const reply = cluster.sent.find(({from}) => from === follower)?.message;
      expect(reply).to.include({
        type: 'append-reply',
        promisedMs: FULL_TIMEOUT_MS,
      });
    } finally {
      await cluster.close();
    }
  });
});
