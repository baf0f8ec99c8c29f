/** Steps of the time of day, while the monotonic clock continues. */
import {expect} from 'chai';

import {TestCluster} from './test_cluster.js';

const SAMPLE_MS = 20;
const STEPS_MS = [5_000, -5_000, 60_000, -120_000, 800, -300];

describe('steps of the time of day', () => {
  // Guards against elections, promises and leases that are timed by the time of
  // day. All members read one clock here: none may depend on it at all.
  it('cause no election and end no lease', async () => {
    const elections: string[] = [];
    const cluster = new TestCluster({
      mode: 'sync-everything',
      names: ['a', 'b', 'c', 'd', 'e'],
      syncMs: 9,
      log: {
        heartbeatMs: 60,
        electionTimeoutMs: 600,
        calmElectionTimeoutMs: 300,
        replaceSilentAfterMs: 6_000,
        onElection: ({cause}) => elections.push(cause),
      },
    });
    try {
      await cluster.startAll();
      const leader = await cluster.waitForLeader();
      await cluster.run(3_000);
      elections.length = 0;
      const {term, voters} = cluster.getLog(leader.name).status();
      for (const [position, stepMs] of STEPS_MS.entries()) {
        cluster.clock.setSystemTime(Date.now() + stepMs);
        const reply = cluster.getLog(leader.name).propose(`${position}`);
        for (let ms = 0; ms < 2_000; ms += SAMPLE_MS) {
          await cluster.run(SAMPLE_MS);
          const {leaseMs} = cluster.getLog(leader.name);
          expect(leaseMs, `after ${stepMs}`).to.be.above(0);
        }
        await reply;
      }
      const after = cluster.getLog(leader.name).status();
      expect(after).to.deep.include({role: 'leader', term, voters});
      expect(elections).to.deep.equal([]);
      expect(cluster.violations).to.deep.equal([]);
    } finally {
      await cluster.close();
    }
  });
});
