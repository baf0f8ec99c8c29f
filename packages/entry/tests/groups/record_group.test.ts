import type {LogMessage, RecordsCommand} from '@mustardferry/coordination';
import {must} from '@mustardferry/model';
import {NullMetrics} from '@mustardferry/runtime';
import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {groupDefinitions} from '../../src/groups/group_members.js';
import {RecordGroup} from '../../src/groups/record_group.js';
import {JobExplanations} from '../../src/jobs/job_explanations.js';
import type {PeerNetwork} from '../../src/peers/peer_network.js';
import {FakeScheduler, POLICY, startItem} from '../fixtures.js';
import {LOGGER, settings} from '../takeover_fixtures.js';

type Sent = Parameters<PeerNetwork['sendLog']>[0];

const MEMBERS = ['e1', 'e2', 'e3'].map(name => ({name, incarnation: '1'}));

describe('RecordGroup', () => {
  let clock: Clock;
  let groups: Map<string, RecordGroup>;
  let connected: boolean;

  function createGroup(name: string): RecordGroup {
    const definition = must(groupDefinitions(settings())[0], 'no group');
    const network = {
      isUp: () => true,
      statusOf: () => ({draining: false, incarnation: '1'}),
      sendLog: ({from, to, message}: Sent) => {
        if (!connected) return;
        setTimeout(() => {
          const log = message as LogMessage<RecordsCommand>;
          groups.get(to.name)?.receive(from, log);
        }, 1);
      },
    };
    return new RecordGroup({
      definition,
      generation: {
        group: definition.name,
        generation: 1,
        voters: MEMBERS,
        grantedAtMs: 0,
      },
      self: {name, incarnation: '1'},
      dataCentre: 'dc1',
      heartbeatMs: 100,
      electionTimeoutMs: 400,
      storage: {
        storage: null,
        recovered: [],
        dropEarlier: async () => undefined,
      },
      network: network as unknown as PeerNetwork,
      logger: LOGGER,
      owner: {
        policy: () => POLICY,
        scheduler: new FakeScheduler(),
        retentionMs: 60_000,
        explanations: new JobExplanations(),
        metrics: new NullMetrics(),
      },
      onOwnership: () => undefined,
    });
  }

  beforeEach(async () => {
    clock = fakeTimers.install();
    connected = true;
    groups = new Map(MEMBERS.map(({name}) => [name, createGroup(name)]));
    await Promise.all([...groups.values()].map(group => group.open()));
    await clock.tickAsync(5_000);
  });

  afterEach(async () => {
    for (const group of groups.values()) await group.close();
    clock.uninstall();
  });

  // Guards against an owner that counts as active when the first start of a
  // transfer is refused: it ended the job and stopped tasks that must not run
  // again, and the next owner reported them as failed.
  it('ends the ownership as soon as a transfer refuses a proposal', async () => {
    const leader = must(
      [...groups.values()].find(group => group.owner !== undefined),
      'no owner',
    );
    const owner = must(leader.owner, 'no owner');
    expect(owner.active).to.equal(true);
    connected = false;
    leader.handOver();
    const refusal = await owner.recordStarts([startItem()]).then(
      () => undefined,
      (err: Error) => String(err.cause),
    );
    expect(refusal).to.include('being transferred');
    expect(leader.owner).to.equal(owner);
    expect(owner.active).to.equal(false);
  });
});
