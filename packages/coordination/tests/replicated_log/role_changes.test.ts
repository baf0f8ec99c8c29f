import {expect} from 'chai';

import {TestCluster, type TestClusterOptions} from './test_cluster.js';

const NAMES = ['a', 'b', 'c'];

/** Fails the writes of one member. */
function failWrites(cluster: TestCluster, name: string): void {
  const {storage} = cluster.member(name);
  if (storage) storage.append = () => Promise.reject(new Error('disk'));
}

describe('RoleChanges', () => {
  let cluster: TestCluster;
  let elections: string[];
  let changes: string[];
  let first: string;

  /** Begins with a leader; later changes are recorded. */
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
    first = (await cluster.untilLeader()).name;
    for (const name of NAMES) {
      const log = cluster.logOf(name);
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

  // Guards against a first leader whose line tells no cause.
  it('tells that nobody led before', async () => {
    await start();
    expect(changes).to.deep.equal(['first true leader-silent']);
    expect(new Set(elections)).to.deep.equal(new Set(['leader-silent']));
  });

  // Guards against a lost path being taken for another leader's work.
  it('tells a lease that is over from a higher term', async () => {
    await start();
    changes = [];
    cluster.isolate(first);
    await cluster.run(3_000);
    expect(changes).to.have.members([
      'first false no-quorum',
      'other true leader-silent',
    ]);
  });

  // Guards against a line for each try of a member that is cut off.
  it('tells an election once, however often it is tried', async () => {
    await start();
    elections = [];
    cluster.isolate(first);
    await cluster.run(10_000);
    expect(elections).to.have.length.below(4);
  });

  // Guards against a planned change being taken for a fault.
  it('tells a transfer on both sides', async () => {
    await start();
    changes = [];
    elections = [];
    cluster.logOf(first).transferLeadership();
    await cluster.run(300);
    expect(changes).to.deep.equal([
      'first false transfer',
      'other true transfer',
    ]);
    expect(elections).to.deep.equal(['transfer']);
  });

  // Guards against a broken connection being taken for a silent leader.
  it('tells that the connections to the leader broke', async () => {
    await start();
    elections = [];
    cluster.isolate(first);
    const other = NAMES.find(name => name !== first) ?? '';
    cluster.logOf(other).reportPeerLost(first);
    expect(elections).to.deep.equal(['leader-lost']);
  });

  // Guards against a leader that missed its loss: it hears of the next one.
  it('tells a higher term', async () => {
    await start();
    changes = [];
    const [b = '', c = ''] = NAMES.filter(name => name !== first);
    cluster.block(first, b);
    cluster.block(first, c);
    cluster.logOf(b).reportPeerLost(first);
    cluster.logOf(c).reportPeerLost(first);
    await cluster.run(200);
    expect(changes).to.include('first false higher-term');
  });

  // Guards against a failed disk being taken for a lost path.
  it('tells that the storage failed', async () => {
    await start();
    changes = [];
    failWrites(cluster, first);
    const proposal = cluster.logOf(first).propose('x');
    await Promise.all([proposal.catch(() => undefined), cluster.run(50)]);
    expect(changes[0]).to.equal('first false log-failed');
  });

  // Guards against a planned stop being taken for a fault.
  it('tells the end of the process', async () => {
    await start();
    await cluster.logOf(first).close();
    expect(changes.at(-1)).to.equal('first false closed');
  });
});
