import type {ControlCommand} from '@mustardferry/coordination';
import type {InstanceStatus} from '@mustardferry/links';
import {NullMetrics} from '@mustardferry/runtime';
import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import type {ControlService} from '../../src/control/control_service.js';
import {GroupService} from '../../src/groups/group_service.js';
import {JobExplanations} from '../../src/jobs/job_explanations.js';
import type {TaskScheduler} from '../../src/jobs/task_scheduler.js';
import type {PeerNetwork} from '../../src/peers/peer_network.js';
import {LOGGER, settings} from '../takeover_fixtures.js';

const LOG = 'dc1.0@1';

type Peers = Record<string, Pick<InstanceStatus, 'votes' | 'ownedGroups'>>;

describe('GroupService', () => {
  let clock: Clock;
  let service: GroupService;
  let peers: Peers;
  let hasState: boolean;
  let proposals: ControlCommand[];

  /** A restarted instance: the granted voters are earlier incarnations. */
  function start(): void {
    const voters = ['e1', 'e2', 'e3'].map(name => ({name, incarnation: '1'}));
    const current = {group: 'dc1.0', generation: 1, voters, grantedAtMs: 0};
    const control = {
      role: 'follower',
      get hasState() {
        return hasState;
      },
      state: {
        instances: () => [],
        group: () => ({group: 'dc1.0', names: [], current, abandonedBy: []}),
      },
      propose: async (command: ControlCommand) => {
        proposals.push(command);
        return {outcome: 'accepted', revision: 1};
      },
    };
    const network = {
      isUp: (name: string) => name in peers,
      statusOf: (name: string) => peers[name],
      sendLog: () => undefined,
    };
    service = new GroupService({
      settings: settings(),
      incarnation: '2',
      control: control as unknown as ControlService,
      network: network as unknown as PeerNetwork,
      owner: {
        policy: () => ({revision: 0, teams: []}),
        scheduler: {} as TaskScheduler,
        retentionMs: 60_000,
        explanations: new JobExplanations(),
        metrics: new NullMetrics(),
      },
      logger: LOGGER,
      onOwnership: () => undefined,
      onVotes: () => undefined,
      openStorage: async () => ({
        storage: null,
        recovered: [],
        dropEarlier: async () => undefined,
      }),
    });
  }

  function abandonments(): number {
    return proposals.filter(({type}) => type === 'abandon-group').length;
  }

  beforeEach(() => {
    clock = fakeTimers.install();
    hasState = true;
    proposals = [];
    peers = {};
  });

  afterEach(async () => {
    await service.close();
    clock.uninstall();
  });

  const kept: readonly {title: string; peers: Peers}[] = [
    {
      title: 'of a leader that is only slow',
      peers: {
        e2: {votes: [LOG], ownedGroups: []},
        e3: {votes: [LOG], ownedGroups: []},
      },
    },
    {title: 'while most members are out of reach', peers: {}},
  ];
  for (const {title, peers: reachable} of kept) {
    it(`does not abandon the generation ${title}`, async () => {
      peers = reachable;
      start();
      await clock.tickAsync(60_000);
      expect(abandonments()).to.equal(0);
    });
  }

  it('abandons a generation without quorum, which would never serve again', async () => {
    peers = {e2: {votes: [], ownedGroups: []}};
    start();
    await clock.tickAsync(4_000);
    expect(abandonments()).to.equal(0);
    await clock.tickAsync(4_000);
    expect(abandonments()).to.be.greaterThan(0);
  });

  it('is ready when an abandoned generation has an owner after all', async () => {
    peers = {e2: {votes: [], ownedGroups: []}};
    start();
    await clock.tickAsync(8_000);
    expect(service.leaderlessGroups).not.to.deep.equal([]);
    peers = {e2: {votes: [LOG], ownedGroups: ['dc1.0']}};
    expect(service.leaderlessGroups).to.deep.equal([]);
  });

  it('joins no generation that an unconfirmed state names', async () => {
    hasState = false;
    peers = {e2: {votes: [], ownedGroups: []}};
    start();
    await clock.tickAsync(10_000);
    expect(proposals).to.deep.equal([]);
    expect(service.leaderlessGroups).not.to.deep.equal([]);
  });
});
