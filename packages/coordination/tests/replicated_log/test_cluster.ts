/** Members of a log on an in-memory network and a fake clock. */
import {must} from '@mustardferry/model';
import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import prand from 'pure-rand';

import type {LogMessage} from '../../src/replicated_log/log_messages.js';
import type {ReplicatedLogOptions} from '../../src/replicated_log/log_options.js';
import {LogTransport} from '../../src/replicated_log/log_transport.js';
import type {MemberId} from '../../src/replicated_log/members.js';
import {MemoryLogStorage} from '../../src/replicated_log/memory_log_storage.js';
import {ReplicatedLog} from '../../src/replicated_log/replicated_log.js';
import {ListMachine} from './list_machine.js';

/** Member of the cluster; kept across its restarts. */
export interface TestMember {
  readonly name: string;
  readonly storage: MemoryLogStorage<string> | null;
  /** Number of its current incarnation. */
  life: number;
  machine: ListMachine;
  log: ReplicatedLog<string, number> | null;
}

export interface TestClusterOptions {
  readonly mode: ReplicatedLogOptions<string, number>['mode'];
  readonly names: readonly string[];
  /** Names of the members with a disk; all of them by default. */
  readonly disks?: readonly string[];
  readonly seed?: number;
  readonly syncMs?: number;
  readonly log?: Partial<ReplicatedLogOptions<string, number>>;
}

/** Probabilities of message faults, from 0 to 1. */
export interface MessageFaults {
  readonly loss: number;
  readonly duplication: number;
  readonly longDelay: number;
}

const NO_FAULTS: MessageFaults = {loss: 0, duplication: 0, longDelay: 0};

/** Runs members and records violations of the log's safety properties. */
export class TestCluster {
  readonly clock: Clock;
  readonly members = new Map<string, TestMember>();
  readonly violations: string[] = [];
  readonly sent: {
    readonly from: string;
    readonly to: string;
    readonly message: LogMessage<string>;
  }[] = [];
  faults = NO_FAULTS;
  private readonly options: TestClusterOptions;
  private readonly rng: prand.RandomGenerator;
  private readonly blocked = new Set<string>();
  private readonly appliedCommands: string[] = [];
  private readonly leadersByTerm = new Map<number, string>();

  constructor(options: TestClusterOptions) {
    this.options = options;
    this.rng = prand.xoroshiro128plus(options.seed ?? 1);
    this.clock = fakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'],
    });
    const {names, disks = names, syncMs = 1} = options;
    for (const name of names) {
      const storage = disks.includes(name)
        ? new MemoryLogStorage<string>({syncMs})
        : null;
      const machine = new ListMachine();
      this.members.set(name, {name, storage, life: 1, machine, log: null});
    }
  }

  random(): number {
    return (
      prand.unsafeUniformIntDistribution(0, 0xffffff, this.rng) / 0x1000000
    );
  }

  async startAll(): Promise<void> {
    for (const name of this.options.names) await this.start(name);
  }

  async start(name: string): Promise<void> {
    const member = this.getMember(name);
    if (member.log) return;
    const machine = new ListMachine((position, command) =>
      this.checkApplied(name, position, command),
    );
    member.machine = machine;
    const self = this.getMemberId(member);
    const log = await ReplicatedLog.open<string, number>({
      self,
      voters: this.options.names.map(n => ({name: n, incarnation: '1'})),
      mode: this.options.mode,
      storage: member.storage,
      transport: new TestTransport(this, self),
      machine,
      random: () => this.random(),
      onFailure: err => this.violations.push(`${name} failed: ${String(err)}`),
      ...this.options.log,
    });
    member.log = log;
    log.onLeadership(({leader, term}) => {
      if (leader) this.checkLeader(name, term);
    });
    for (const other of this.members.values()) {
      other.log?.setRegistered(self);
      if (other.log) log.setRegistered(this.getMemberId(other));
    }
  }

  /** Stops a member at once; in memory mode it returns as a new incarnation. */
  crash(name: string): void {
    const member = this.getMember(name);
    member.log?.abort();
    member.log = null;
    member.storage?.crash();
    if (this.options.mode === 'in-memory') member.life++;
  }

  /** Blocks messages in one direction. */
  block(from: string, to: string): void {
    this.blocked.add(`${from}>${to}`);
  }

  isolate(name: string): void {
    for (const other of this.options.names) {
      this.block(name, other);
      this.block(other, name);
    }
  }

  heal(): void {
    this.blocked.clear();
  }

  async run(ms: number): Promise<void> {
    await this.clock.tickAsync(ms);
  }

  /** Returns the member that leads in the highest term, if any. */
  findLeader(): TestMember | undefined {
    return [...this.members.values()]
      .filter(member => member.log?.status().role === 'leader')
      .sort((a, b) => this.getLog(b.name).term - this.getLog(a.name).term)[0];
  }

  /** Runs until a member leads, and returns it. */
  async waitForLeader(maxMs = 10_000): Promise<TestMember> {
    for (let ms = 0; ms < maxMs; ms += 10) {
      const leader = this.findLeader();
      if (leader && this.leadersByTerm.get(this.getLog(leader.name).term)) {
        return leader;
      }
      await this.run(10);
    }
    throw new Error('no leader');
  }

  getLog(name: string): ReplicatedLog<string, number> {
    return must(this.getMember(name).log, `${name} is not running`);
  }

  getMember(name: string): TestMember {
    return must(this.members.get(name), `no member ${name}`);
  }

  getMemberId(member: TestMember): MemberId {
    return {name: member.name, incarnation: String(member.life)};
  }

  /** Sends a message over the simulated network; called by the transports. */
  sendMessage(from: MemberId, to: MemberId, message: LogMessage<string>): void {
    this.sent.push({from: from.name, to: to.name, message});
    if (this.random() < this.faults.loss) return;
    const copies = this.random() < this.faults.duplication ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      const long = this.random() < this.faults.longDelay;
      const delay = long ? this.random() * 3000 : 0.5 + this.random();
      setTimeout(() => {
        if (this.blocked.has(`${from.name}>${to.name}`)) return;
        this.members.get(to.name)?.log?.receive(from, message);
      }, delay);
    }
  }

  async close(): Promise<void> {
    for (const member of this.members.values()) member.log?.abort();
    this.clock.uninstall();
  }

  private checkApplied(name: string, position: number, command: string): void {
    const known = (this.appliedCommands[position] ??= command);
    if (known !== command) {
      this.violations.push(
        `${name} applied ${command} at ${position} instead of ${known}`,
      );
    }
  }

  private checkLeader(name: string, term: number): void {
    const known = this.leadersByTerm.get(term) ?? name;
    this.leadersByTerm.set(term, name);
    if (known !== name) {
      this.violations.push(`${known} and ${name} both lead term ${term}`);
    }
  }
}

class TestTransport extends LogTransport<string> {
  private readonly cluster: TestCluster;
  private readonly self: MemberId;

  constructor(cluster: TestCluster, self: MemberId) {
    super();
    this.cluster = cluster;
    this.self = self;
  }

  override send(to: MemberId, message: LogMessage<string>): void {
    this.cluster.sendMessage(this.self, to, message);
  }
}
