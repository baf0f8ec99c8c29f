import {expect} from 'chai';
import prand from 'pure-rand';

import {TestCluster} from './test_cluster.js';

const NAMES = ['a', 'b', 'c', 'd', 'e'];
const SEEDS = Array.from({length: 40}, (_, i) => i + 1);
const ACTIONS = 40;
const SAMPLE_MS = 5;

/** A leader, and until when it has to expect an earlier one to act. */
interface LeaderRecord {
  readonly name: string;
  readonly term: number;
  readonly overlapUntil: number;
}

/**
 * Checks at intervals that an earlier leader holds no lease any more after the
 * time that the next leader was told.
 */
class LeaseWatch {
  readonly violations: string[] = [];
  private latest: LeaderRecord | null = null;

  constructor(private readonly cluster: TestCluster) {}

  watch(name: string): void {
    this.cluster.getLog(name).onLeadership(change => {
      const {leader, term, earlierLeaseMs} = change;
      if (!leader || term < (this.latest?.term ?? 0)) return;
      const overlapUntil = performance.now() + earlierLeaseMs;
      this.latest = {name, term, overlapUntil};
    });
  }

  async run(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += SAMPLE_MS) {
      await this.cluster.run(SAMPLE_MS);
      this.check();
    }
  }

  private check(): void {
    const {latest} = this;
    if (!latest || performance.now() < latest.overlapUntil) return;
    for (const {name, log} of this.cluster.members.values()) {
      if (!log || log.leaseMs === 0 || log.term >= latest.term) continue;
      this.violations.push(
        `${name} holds a lease of term ${log.term} beside term ${latest.term}`,
      );
    }
  }
}

/**
 * Plays cuts, lost connections, restarts and transfers. Guards against two
 * leaders that both give orders around a hand-over.
 */
describe('leases around a change of the leader', () => {
  for (const seed of SEEDS) {
    it(`the next leader knows how long an earlier lease may last, seed ${seed}`, async () => {
      const cluster = new TestCluster({
        mode: 'sync-everything',
        names: NAMES,
        seed,
        syncMs: 9,
        log: {
          heartbeatMs: 60,
          electionTimeoutMs: 600,
          calmElectionTimeoutMs: 300,
        },
      });
      const rng = prand.xoroshiro128plus(seed);
      const draw = (max: number) =>
        prand.unsafeUniformIntDistribution(0, max - 1, rng);
      const pick = () => NAMES[draw(NAMES.length)] ?? '';
      try {
        await cluster.startAll();
        const watch = new LeaseWatch(cluster);
        for (const name of NAMES) watch.watch(name);
        await watch.run(1_500 + draw(8_000));
        for (let i = 0; i < ACTIONS; i++) {
          const name = pick();
          const leader = cluster.findLeader()?.name ?? name;
          switch (draw(6)) {
            case 0:
              cluster.isolate(leader);
              break;
            case 1:
              for (const other of NAMES) cluster.block(leader, other);
              break;
            case 2:
              cluster.getMember(name).log?.reportPeerLost(leader);
              break;
            case 3:
              cluster.crash(name);
              await watch.run(draw(300));
              await cluster.start(name);
              watch.watch(name);
              break;
            case 4:
              cluster.getMember(leader).log?.transferLeadership();
              break;
            default:
              cluster.heal();
          }
          await watch.run(draw(700));
        }
        expect(watch.violations).to.deep.equal([]);
      } finally {
        await cluster.close();
      }
    });
  }
});
