/** The order in which a session acknowledges run ends. */
import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {EvacuationTable} from '../../src/jobs/evacuations.js';
import type {SessionEvents} from '../../src/owner/session_types.js';
import {UpstreamSession} from '../../src/owner/upstream_session.js';
import type {
  HoldAnswer,
  HoldOrder,
  UpstreamTarget,
} from '../../src/upstreams/upstream_port.js';
import {FakePort, FakeUpstream} from '../fake_upstreams.js';

class RecordingPort extends FakePort {
  readonly acknowledged: number[] = [];
  listed = 0;

  override async hold(
    _to: UpstreamTarget,
    order: HoldOrder,
  ): Promise<HoldAnswer> {
    this.acknowledged.push(order.acknowledged);
    await new Promise(resolve => setTimeout(resolve, 20));
    const ends = Array.from({length: this.listed}, (_, i) => ({
      sequence: i + 1,
      task: {job: 'a', step: 0, index: i},
      run: 1,
      outcome: 'done' as const,
    }));
    const lists = {active: [], ends, moreEnds: false};
    return {type: 'held', clockMs: 1, startedAt: 1, ...lists};
  }
}

describe('UpstreamSession', () => {
  let clock: Clock;
  let port: RecordingPort;
  let session: UpstreamSession;
  let commits: ((ok: boolean) => void)[];

  beforeEach(() => {
    clock = fakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance'],
    });
    const upstream = new FakeUpstream('u', '10.0.0.1:1', []);
    port = new RecordingPort([upstream]);
    commits = [];
    const events: SessionEvents = {
      fenced: () => undefined,
      contactChanged: () => undefined,
      // Like the dispatcher: ends that need no commit wait for earlier ones.
      ended: async (_session, ends, earlier) => {
        const own =
          ends[0]?.sequence === 1
            ? new Promise<boolean>(resolve => commits.push(resolve))
            : Promise.resolve(true);
        return (await earlier) && own;
      },
      runLost: () => undefined,
      startRefused: () => undefined,
      holdAnswered: () => undefined,
      runFound: () => undefined,
      otherProcess: () => undefined,
      superseded: () => undefined,
    };
    session = new UpstreamSession({
      record: upstream.announcement(1),
      acknowledged: 0,
      clockMs: 1,
      token: 1,
      leaseMs: 700,
      maxLeaseMs: 1_000,
      evacuations: new EvacuationTable(),
      port,
      events,
      maySendOrders: () => true,
    });
  });

  afterEach(() => {
    session.close();
    clock.uninstall();
  });

  // The group loses its majority between two ends, as in soak seed 322.
  it('does not acknowledge an end while the commit of an earlier one is open', async () => {
    port.listed = 1;
    await clock.tickAsync(50);
    port.listed = 2;
    await clock.tickAsync(2_000);
    expect(new Set(port.acknowledged)).to.deep.equal(new Set([0]));
    commits[0]?.(true);
    await clock.tickAsync(500);
    expect(Math.max(...port.acknowledged)).to.equal(2);
  });

  it('acknowledges nothing after an end whose commit failed', async () => {
    port.listed = 1;
    await clock.tickAsync(50);
    commits[0]?.(false);
    port.listed = 2;
    await clock.tickAsync(2_000);
    expect(new Set(port.acknowledged)).to.deep.equal(new Set([0]));
  });

  // Guards against connections to a released upstream that are never closed.
  it('sends no hold after it is closed while ends wait for their commit', async () => {
    port.listed = 1;
    await clock.tickAsync(50);
    session.close();
    const {length} = port.acknowledged;
    await clock.tickAsync(1_000);
    expect(port.acknowledged).to.have.length(length);
  });
});
