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
  ELECTION_TIMEOUT_MS,
  HEARTBEAT_MS,
} from '../../src/instance/log_timing.js';
import type {Command, CommandResult} from '../../src/jobs/commands.js';
import {DispatchState} from '../../src/jobs/dispatch_state.js';

/** Two turns of a busy leader's event loop, each as long as any seen. */
const BUSY_MS = 500;

const VOTERS = ['a', 'b', 'c'].map(name => ({name, incarnation: 'first'}));

type Log = ReplicatedLog<Command, CommandResult>;

/** Three voters; messages from and to a busy one move once in `BUSY_MS`. */
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

describe('timing of the log', () => {
  let clock: Clock;

  beforeEach(() => {
    clock = fakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'],
    });
  });

  afterEach(() => {
    clock.uninstall();
  });

  // Each change of the leader brought the next one more work at once than its
  // event loop took in an election timeout, so that no term lasted.
  it('a busy leader keeps its term', async () => {
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

  it('a leader that no one reaches is replaced', async () => {
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
