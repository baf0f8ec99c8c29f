import {expect} from 'chai';

import {TestCluster} from './test_cluster.js';

const NAMES = ['a', 'b', 'c'];
const COMMAND_BYTES = 1_000;
const LOG = {
  maxBytesPerMessage: 4 * COMMAND_BYTES,
  snapshotEveryBytes: 10 * COMMAND_BYTES,
  snapshotEveryEntries: 10_000,
};

/** Snapshot intervals for which a leader waits for a lagging voter. */
const MAX_INTERVALS = 4;

describe('ReplicatedLog with large commands', () => {
  let cluster: TestCluster;

  beforeEach(async () => {
    cluster = new TestCluster({
      mode: 'sync-everything',
      names: NAMES,
      log: LOG,
    });
    await cluster.startAll();
  });

  afterEach(async () => {
    await cluster.close();
    expect(cluster.violations).to.deep.equal([]);
  });

  /** The limit follows the size of the state, which is a list of commands. */
  async function expectBoundedLog(name: string): Promise<void> {
    const stored = await cluster.getMember(name).storage?.load();
    const commands = stored?.entries.flatMap(entry => entry.commands) ?? [];
    const keptBytes = commands.reduce((sum, {length}) => sum + length, 0);
    const snapshotBytes = stored?.snapshot?.data.byteLength ?? 0;
    const interval = Math.max(LOG.snapshotEveryBytes, snapshotBytes);
    const limit = MAX_INTERVALS * interval + LOG.maxBytesPerMessage;
    expect(keptBytes, name).to.be.at.most(limit);
  }

  async function proposeOneByOne(count: number): Promise<void> {
    const log = cluster.getLog((await cluster.waitForLeader()).name);
    for (let n = 0; n < count; n++) {
      const result = log.propose('x'.repeat(COMMAND_BYTES));
      await cluster.run(10);
      await result;
    }
  }

  // Guards against a log that grows until the heap of every member is full.
  it('keeps a bounded size of entries, however few they are', async () => {
    await proposeOneByOne(100);
    for (const name of NAMES) {
      await expectBoundedLog(name);
    }
  });

  it('keeps a bounded size of entries after a restart of all members', async () => {
    await proposeOneByOne(8);
    for (const name of NAMES) cluster.crash(name);
    for (const name of NAMES) await cluster.start(name);
    await proposeOneByOne(50);
    for (const name of NAMES) {
      await expectBoundedLog(name);
    }
  });

  it('keeps a bounded size of entries while a voter is silent', async () => {
    const leader = await cluster.waitForLeader();
    const lagging = NAMES.find(name => name !== leader.name) ?? '';
    cluster.isolate(lagging);
    await proposeOneByOne(100);
    await expectBoundedLog(leader.name);
    cluster.heal();
    await cluster.run(3_000);
    expect(cluster.getMember(lagging).machine.items).to.have.length(100);
  });

  // Guards against one entry, and one message, with all queued commands.
  it('splits commands that are proposed together by their size', async () => {
    const log = cluster.getLog((await cluster.waitForLeader()).name);
    const results = Array.from({length: 20}, () =>
      log.propose('x'.repeat(COMMAND_BYTES)),
    );
    await cluster.run(500);
    expect(await Promise.all(results)).to.have.length(20);
    for (const {message} of cluster.sent) {
      if (message.type !== 'append') continue;
      const commands = message.entries.flatMap(entry => entry.commands);
      expect(commands.length).to.be.at.most(4);
    }
  });
});
