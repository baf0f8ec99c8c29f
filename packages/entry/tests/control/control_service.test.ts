import {
  type ControlCommand,
  ControlState,
  MemoryLogStorage,
} from '@mustardferry/coordination';
import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {ControlService} from '../../src/control/control_service.js';
import type {PeerNetwork} from '../../src/peers/peer_network.js';
import {kindOf, LOGGER, settings, teamWith} from '../takeover_fixtures.js';

const INDEX = 7;
const VOTERS = ['e1', 'e2', 'e3'].map(name => ({name, incarnation: 'voter'}));

/** State with one team, as of an index. */
function storedState(): Uint8Array {
  const state = new ControlState();
  const command: ControlCommand = {
    type: 'accept-answers',
    team: 'coop',
    text: '',
    policy: teamWith(kindOf(true)),
    baseRevision: 0,
    operator: 'o',
    requestId: 'r1',
    atMs: 0,
  };
  state.apply(command, INDEX);
  return state.snapshot();
}

describe('ControlService', () => {
  let clock: Clock;
  let service: ControlService;
  let page: unknown;

  async function open(name: string): Promise<void> {
    const storage = new MemoryLogStorage<ControlCommand>();
    await storage.saveSnapshot(
      {index: INDEX, term: 1, voters: VOTERS, data: storedState()},
      false,
    );
    const network = {
      isUp: (peer: string) => peer === 'e1',
      statusOf: () => undefined,
      sendLog: () => undefined,
      call: () =>
        new Promise(resolve => setTimeout(() => resolve({page}), 100)),
    };
    const voters = {controlVoters: ['e1', 'e2', 'e3']};
    service = new ControlService({
      settings: settings({...voters, name}),
      network: network as unknown as PeerNetwork,
      logger: LOGGER,
      storage: voters.controlVoters.includes(name) ? storage : null,
      audit: undefined,
      onChange: () => undefined,
    });
    await service.open();
  }

  /** Entry of a new leader, which commits all entries before it. */
  function hearLeader(): void {
    service.receive(VOTERS[1] ?? {name: '', incarnation: ''}, {
      type: 'append',
      to: 'voter',
      term: 2,
      prevIndex: INDEX,
      prevTerm: 1,
      entries: [{index: INDEX + 1, term: 2, commands: [], durable: false}],
      commit: INDEX + 1,
      round: 1,
    });
  }

  beforeEach(() => {
    clock = fakeTimers.install();
  });

  afterEach(async () => {
    const closed = service.close();
    await clock.tickAsync(1_000);
    await closed;
    clock.uninstall();
  });

  it('a restarted voter does not show its stored configuration as current', async () => {
    await open('e1');
    await clock.tickAsync(100);
    expect(service.policy.revision).to.equal(INDEX);
    expect(service.hasState).to.equal(false);
    expect(service.isCurrent).to.equal(false);
    const fetched = await service.fetch({afterIndex: 0, waitMs: 0});
    expect(fetched.confirmedMsAgo).to.equal(Infinity);
  });

  it('a voter that heard a leader serves, also after it lost the leader', async () => {
    await open('e1');
    hearLeader();
    await clock.tickAsync(10);
    expect(service.hasState).to.equal(true);
    expect(service.isCurrent).to.equal(true);
    service.peerLost('e2');
    expect(service.hasState).to.equal(true);
    await clock.tickAsync(20_000);
    expect(service.hasState).to.equal(true);
    expect(service.isCurrent).to.equal(false);
  });

  it('a puller of an unconfirmed configuration is not ready with it', async () => {
    const snapshot = {
      kind: 'snapshot',
      index: INDEX,
      commitIndex: INDEX,
      data: storedState(),
    };
    page = {...snapshot, confirmedMsAgo: Infinity};
    await open('e9');
    await clock.tickAsync(1_000);
    expect(service.policy.revision).to.equal(INDEX);
    expect(service.hasState).to.equal(false);
    page = {...snapshot, confirmedMsAgo: 50};
    await clock.tickAsync(1_000);
    expect(service.hasState).to.equal(true);
  });
});
