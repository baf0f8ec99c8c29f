import {expect} from 'chai';

import {TestCluster, type TestClusterOptions} from './test_cluster.js';

const NAMES = ['a', 'b', 'c'];

/** Makes all appends to the storage of a member fail. */
function failWrites(cluster: TestCluster, name: string): void {
  const {storage} = cluster.getMember(name);
  if (storage) storage.append = () => Promise.reject(new Error('disk'));
}

describe('RoleChangeTracker', () => {
  let cluster: TestCluster;
  let elections: string[];
  let changes: string[];
  let first: string;

  /** Starts a cluster with a leader and records elections and role changes. */
  async function start(
    options: Partial<TestClusterOptions> = {},
  ): Promise<void> {
    elections = [];
    changes = [];
    cluster = new TestCluster({
      mode: 'sync-everything',
      names: NAMES,
      ...options,
      log: {
        onElection: ({cause}) => elections.push(cause),
        onFailure: () => undefined,
      },
    });
    await cluster.startAll();
    first = (await cluster.waitForLeader()).name;
    for (const name of NAMES) {
      const log = cluster.getLog(name);
      log.onLeadership(({leader, cause}) =>
        changes.push(
          `${name === first ? 'first' : 'other'} ${leader} ${cause}`,
        ),
      );
    }
  }

  afterEach(async () => {
    await cluster.close();
    expect(cluster.violations).to.deep.equal([]);
  });

  // Guards against a missing cause for the first leader.
  it('reports leader-silent for the first leader', async () => {
    await start();
    expect(changes).to.deep.equal(['first true leader-silent']);
    expect(new Set(elections)).to.deep.equal(new Set(['leader-silent']));
  });

  // Guards against mistaking a lost connection for a newer leader.
  it('reports no-quorum for an isolated leader', async () => {
    await start();
    changes = [];
    cluster.isolate(first);
    await cluster.run(3_000);
    expect(changes).to.have.members([
      'first false no-quorum',
      'other true leader-silent',
    ]);
  });

  // Guards against one report for each attempt of an isolated member.
  it('reports an election once, however often it is retried', async () => {
    await start();
    elections = [];
    cluster.isolate(first);
    await cluster.run(10_000);
    expect(elections).to.have.length.below(4);
  });

  // Guards against mistaking a planned transfer for a fault.
  it('reports transfer on the old and the new leader', async () => {
    await start();
    changes = [];
    elections = [];
    cluster.getLog(first).transferLeadership();
    await cluster.run(300);
    expect(changes).to.deep.equal([
      'first false transfer',
      'other true transfer',
    ]);
    expect(elections).to.deep.equal(['transfer']);
  });

  // Guards against mistaking a lost connection for a silent leader.
  it('reports leader-lost when the connections to the leader are lost', async () => {
    await start();
    elections = [];
    cluster.isolate(first);
    const other = NAMES.find(name => name !== first) ?? '';
    cluster.getLog(other).reportPeerLost(first);
    expect(elections).to.deep.equal(['leader-lost']);
  });

  // Guards against a wrong cause when a leader that cannot send learns of its
  // successor.
  it('reports higher-term when another leader was elected', async () => {
    await start();
    changes = [];
    const [b = '', c = ''] = NAMES.filter(name => name !== first);
    cluster.block(first, b);
    cluster.block(first, c);
    cluster.getLog(b).reportPeerLost(first);
    cluster.getLog(c).reportPeerLost(first);
    await cluster.run(200);
    expect(changes).to.include('first false higher-term');
  });

  // Guards against mistaking a failed disk for a lost connection.
  it('reports log-failed when the storage fails', async () => {
    await start();
    changes = [];
    failWrites(cluster, first);
    const proposal = cluster.getLog(first).propose('x');
    await Promise.all([proposal.catch(() => undefined), cluster.run(50)]);
    expect(changes[0]).to.equal('first false log-failed');
  });

  // Guards against mistaking a planned stop for a fault.
  it('reports closed when the log is closed', async () => {
    await start();
    await cluster.getLog(first).close();
    expect(changes.at(-1)).to.equal('first false closed');
  });
});
