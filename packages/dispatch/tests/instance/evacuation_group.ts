/** Members with a replicated log and evacuation requests, on a fake clock. */
import {
  type LogMessage,
  LogTransport,
  type MemberId,
  MemoryLogStorage,
  ReplicatedLog,
} from '@mustardferry/coordination';
import {must} from '@mustardferry/model';
import {createLogger} from '@mustardferry/runtime';
import fakeTimers, {type Clock} from '@sinonjs/fake-timers';

import type {CallOutcome} from '../../src/instance/call_outcome.js';
import {
  type EvacuationOutcome,
  EvacuationRequests,
} from '../../src/instance/evacuation_requests.js';
import type {Command, CommandResult} from '../../src/jobs/commands.js';
import {DispatchState} from '../../src/jobs/dispatch_state.js';
import type {Call, Reply} from '../../src/messages/calls.js';
import {EvacuationOrders} from '../../src/owner/evacuation_orders.js';

const NAMES = ['a', 'b', 'c'];

/** Duration in ms of a sync, and of a message between members. */
const SYNC_MS = 5;
const MESSAGE_MS = 1;

const RETRY_DELAY_MS = 40;

/** What becomes of one attempt of a call; the sender notices a `break`. */
export type Interception = 'pass' | 'break' | 'lose-request' | 'lose-reply';

export interface TestMember {
  readonly name: string;
  incarnation: number;
  storage: MemoryLogStorage<Command>;
  state: DispatchState;
  log: ReplicatedLog<Command, CommandResult> | null;
  /** Called before each attempt of a call that the member sends. */
  intercept: (call: Call) => Interception | Promise<Interception>;
  readonly requests: EvacuationRequests;
}

/** Three members; the known data centres are `north` and `south`. */
export class EvacuationGroup {
  readonly clock: Clock;
  readonly members: readonly TestMember[];

  constructor() {
    this.clock = fakeTimers.install({
      toFake: [
        'setTimeout',
        'clearTimeout',
        'setInterval',
        'clearInterval',
        'performance',
        'Date',
      ],
    });
    this.members = NAMES.map(name => {
      const member: TestMember = {
        name,
        incarnation: 1,
        storage: new MemoryLogStorage<Command>({syncMs: SYNC_MS}),
        state: new DispatchState(),
        log: null,
        intercept: () => 'pass',
        requests: new EvacuationRequests({
          call: (call, timeoutMs, isWanted) =>
            this.call(member, call, timeoutMs, isWanted),
          getKnownDataCentres: () => ['north', 'south'],
          logger: createLogger('silent'),
        }),
      };
      return member;
    });
  }

  get leader(): TestMember | undefined {
    return this.members.find(({log}) => log?.status().role === 'leader');
  }

  /** A member that does not lead. */
  get follower(): TestMember {
    const {leader} = this;
    const found = this.members.find(each => each.log && each !== leader);
    return must(found, 'no follower');
  }

  async start(member: TestMember): Promise<void> {
    member.state = new DispatchState();
    const self = toId(member);
    const log = await ReplicatedLog.open<Command, CommandResult>({
      self,
      voters: NAMES.map(name => ({name, incarnation: '1'})),
      mode: 'sync-everything',
      storage: member.storage,
      transport: new TestTransport(this, self),
      machine: member.state,
      snapshotEveryEntries: 4,
    });
    member.log = log;
    for (const other of this.members) {
      if (!other.log) continue;
      other.log.setRegistered(self);
      log.setRegistered(toId(other));
    }
  }

  async startAll(): Promise<void> {
    for (const member of this.members) await this.start(member);
    await this.runUntil(() => this.leader !== undefined);
  }

  /** Ends a member like a loss of power. */
  kill(member: TestMember): void {
    member.log?.abort();
    member.log = null;
    member.storage.crash();
  }

  /** Replaces a member by one with an empty disk. */
  async replaceDisk(member: TestMember): Promise<void> {
    this.kill(member);
    member.incarnation++;
    member.storage = new MemoryLogStorage<Command>({syncMs: SYNC_MS});
    await this.start(member);
  }

  /** Sends a request to a member, as an operator does. */
  request(
    member: TestMember,
    evacuated: boolean,
    dataCentre = 'north',
    hasLeft = () => false,
  ): Promise<EvacuationOutcome> {
    const operator = 'ops';
    return member.requests.handle({dataCentre, evacuated, operator, hasLeft});
  }

  /** Sends a request to one member after another until it is in force. */
  async insist(evacuated: boolean, dataCentre = 'north'): Promise<void> {
    for (let turn = 0; turn < 10; turn++) {
      const member = must(this.members[turn % NAMES.length], 'no member');
      if (!member.log) continue;
      const request = this.request(member, evacuated, dataCentre);
      if ((await this.waitFor(request)) === 'in-force') return;
    }
    throw new Error('not in force after 10 requests');
  }

  async run(ms: number): Promise<void> {
    await this.clock.tickAsync(ms);
  }

  async runUntil(isDone: () => boolean): Promise<void> {
    for (let ms = 0; ms < 20_000 && !isDone(); ms++) await this.run(1);
    if (!isDone()) throw new Error('not done in 20 s');
  }

  async waitFor<T>(promise: Promise<T>): Promise<T> {
    let done = false;
    void promise.finally(() => (done = true));
    await this.runUntil(() => done);
    return promise;
  }

  close(): void {
    for (const member of this.members) {
      this.kill(member);
      member.requests.close();
    }
    this.clock.uninstall();
  }

  deliver(from: MemberId, to: MemberId, message: LogMessage<Command>): void {
    setTimeout(() => {
      const member = this.members.find(({name}) => name === to.name);
      member?.log?.receive(from, message);
    }, MESSAGE_MS);
  }

  /** Retries like `LeaderClient`. */
  private async call(
    from: TestMember,
    call: Call,
    timeoutMs: number,
    isWanted: () => boolean,
  ): Promise<CallOutcome> {
    const deadline = performance.now() + timeoutMs;
    while (performance.now() < deadline && isWanted()) {
      const reply = await Promise.race([
        this.attempt(from, call),
        sleep(deadline - performance.now()),
      ]);
      if (reply) return {type: 'replied', reply};
      await sleep(RETRY_DELAY_MS);
    }
    return {type: 'unanswered', mayHaveRun: true, obstacle: 'timeout'};
  }

  private async attempt(from: TestMember, call: Call): Promise<Reply | null> {
    const interception = await from.intercept(call);
    if (interception === 'break') return null;
    if (interception === 'lose-request') return sleep(1_000);
    await sleep(MESSAGE_MS);
    const {leader} = this;
    if (!leader?.log) return null;
    const {log, state} = leader;
    const orders = new EvacuationOrders({
      state,
      log,
      propose: command => log.propose(command),
      logger: createLogger('silent'),
    });
    try {
      const reply =
        call.type === 'evacuate' ? orders.apply(call) : orders.read();
      const settled = await reply;
      if (interception === 'lose-reply') return await sleep(1_000);
      return settled;
    } catch {
      // The log lost its leadership: the outcome is unknown to the sender.
      return null;
    }
  }
}

class TestTransport extends LogTransport<Command> {
  constructor(
    private readonly group: EvacuationGroup,
    private readonly self: MemberId,
  ) {
    super();
  }

  override send(to: MemberId, message: LogMessage<Command>): void {
    this.group.deliver(this.self, to, message);
  }
}

function toId({name, incarnation}: TestMember): MemberId {
  return {name, incarnation: String(incarnation)};
}

function sleep(ms: number): Promise<null> {
  return new Promise(resolve => setTimeout(() => resolve(null), ms));
}
