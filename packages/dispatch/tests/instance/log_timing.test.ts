import {
  type LogMessage,
  LogTransport,
  type MemberId,
  MemoryLogStorage,
  ReplicatedLog,
} from '@mustardferry/coordination';
import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {
  CALM_ELECTION_TIMEOUT_MS,
  ELECTION_TIMEOUT_MS,
  HEARTBEAT_MS,
} from '../../src/instance/log_timing.js';
import type {Command, CommandResult} from '../../src/jobs/commands.js';
import {DispatchState} from '../../src/jobs/dispatch_state.js';

/** Two turns of a busy leader's event loop, of 250 ms each. */
const BUSY_MS = 500;

const VOTERS = ['a', 'b', 'c'].map(name => ({name, incarnation: 'first'}));

type Log = ReplicatedLog<Command, CommandResult>;

/** Three voters; messages from and to a busy one wait up to `BUSY_MS`. */
class BusyGroup {
  readonly logs = new Map<string, Log>();
  busy: string | null = null;

  constructor(private readonly clock: Clock) {}

  async start(): Promise<void> {
    for (const [i, self] of VOTERS.entries()) {
      const log = await ReplicatedLog.open<Command, CommandResult>({
        self,
        voters: VOTERS,
        mode: 'sync-everything',
        storage: new MemoryLogStorage<Command>({syncMs: 4}),
        transport: new GroupTransport(this, self),
        machine: new DispatchState(),
        heartbeatMs: HEARTBEAT_MS,
        electionTimeoutMs: ELECTION_TIMEOUT_MS,
        calmElectionTimeoutMs: CALM_ELECTION_TIMEOUT_MS,
        random: () => i / VOTERS.length,
      });
      this.logs.set(self.name, log);
    }
  }

  get leader(): string | undefined {
    for (const [name, log] of this.logs) {
      if (log.status().role === 'leader') return name;
    }
    return undefined;
  }

  deliver(from: MemberId, to: MemberId, message: LogMessage<Command>): void {
    const isBusy = from.name === this.busy || to.name === this.busy;
    const restMs = BUSY_MS - (performance.now() % BUSY_MS);
    const receive = () => this.logs.get(to.name)?.receive(from, message);
    setTimeout(receive, isBusy ? restMs : 1);
  }

  run(ms: number): Promise<number> {
    return this.clock.tickAsync(ms);
  }
}

class GroupTransport extends LogTransport<Command> {
  constructor(
    private readonly group: BusyGroup,
    private readonly self: MemberId,
  ) {
    super();
  }

  override send(to: MemberId, message: LogMessage<Command>): void {
    this.group.deliver(this.self, to, message);
  }
}

describe('log timing', () => {
  let clock: Clock;

  beforeEach(() => {
    clock = fakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'],
    });
  });

  afterEach(() => {
    clock.uninstall();
  });

  // Guards against repeated elections: a new leader's first work can block its
  // event loop for longer than a short election timeout.
  it('keeps a busy leader in its term', async () => {
    const group = new BusyGroup(clock);
    await group.start();
    await group.run(3 * ELECTION_TIMEOUT_MS);
    const {leader = ''} = group;
    const term = group.logs.get(leader)?.status().term;
    group.busy = leader;
    await group.run(10_000);
    expect(group.leader).to.equal(leader);
    expect(group.logs.get(leader)?.status().term).to.equal(term);
    for (const log of group.logs.values()) log.abort();
  });

  it('replaces a leader that is not reachable', async () => {
    const group = new BusyGroup(clock);
    await group.start();
    await group.run(3 * ELECTION_TIMEOUT_MS);
    const {leader = ''} = group;
    group.logs.get(leader)?.abort();
    group.logs.delete(leader);
    await group.run(3 * ELECTION_TIMEOUT_MS);
    expect(group.leader).to.be.oneOf([...group.logs.keys()]);
    for (const log of group.logs.values()) log.abort();
  });
});
