/** Runs an owner on a log of one member with fake upstreams and a fake clock. */
import {MemoryLogStorage, ReplicatedLog} from '@mustardferry/coordination';
import {must} from '@mustardferry/model';
import {
  createLogger,
  type Logger,
  type Metrics,
  NullMetrics,
} from '@mustardferry/runtime';
import fakeTimers, {type Clock} from '@sinonjs/fake-timers';

import type {Command, CommandResult} from '../src/jobs/commands.js';
import type {QueueConfig} from '../src/jobs/configuration.js';
import {DispatchState} from '../src/jobs/dispatch_state.js';
import type {Step} from '../src/jobs/job_types.js';
import type {Reply} from '../src/messages/calls.js';
import {Owner} from '../src/owner/owner.js';
import type {SpeedSnapshot} from '../src/owner/upstream_speed.js';
import type {UpstreamPort} from '../src/upstreams/upstream_port.js';
import {
  FAKE_LEASE_MS,
  FakePort,
  FakeUpstream,
  type RunSpan,
} from './fake_upstreams.js';

/** Queue that the harness configures. */
export const QUEUE: QueueConfig = {
  name: 'queue',
  host: 'host',
  prefix: '/q/',
  pool: 'pool',
  priority: 0,
  maxAttempts: 2,
  stretch: 2,
  targetMs: 60,
};

/** Creates a step of equal tasks. */
export function step(tasks: number, fields: Partial<Step> = {}): Step {
  return {
    tasks,
    cpuMillis: 1_000,
    memoryMb: 1,
    accelerators: 0,
    declaredMs: 60,
    after: [],
    label: '',
    dataRack: '',
    maxPerUpstream: 0,
    ...fields,
  };
}

/** Options of the harness. */
export interface HarnessOptions {
  /** Receives the owners' log lines; they are dropped by default. */
  readonly logger?: Logger;
  /**
   * Creates the owner's port from the one to the fake upstreams; returns the
   * same port by default.
   */
  readonly wrapPort?: (port: FakePort) => UpstreamPort;
}

/** Runs one owner after another on the same stored log. */
export class OwnerHarness {
  readonly clock: Clock;
  readonly spans: RunSpan[] = [];
  readonly upstreams: FakeUpstream[];
  state = new DispatchState();
  paused = false;
  /** Whether an owner gets the speeds that the one before has learned. */
  handsOverSpeeds = true;
  /** For how long an owner is told that the one before may give orders. */
  earlierLeaseMs = 0;
  metrics: Metrics = new NullMetrics();
  owner: Owner | null = null;
  private speeds: SpeedSnapshot | null = null;
  private readonly storage = new MemoryLogStorage<Command>({syncMs: 9});
  private readonly port: UpstreamPort;
  private log: ReplicatedLog<Command, CommandResult> | null = null;
  private readonly submittedIds = new Set<string>();
  private readonly sequences = new Map<string, number>();

  private readonly logger: Logger;

  /** @param count Number of upstreams. */
  constructor(count: number, options: HarnessOptions = {}) {
    const {logger = createLogger('silent'), wrapPort = port => port} = options;
    this.logger = logger;
    this.clock = fakeTimers.install({
      now: 1_000_000,
      toFake: [
        'setTimeout',
        'clearTimeout',
        'setInterval',
        'clearInterval',
        'performance',
        'Date',
      ],
    });
    this.upstreams = Array.from(
      {length: count},
      (_, i) => new FakeUpstream(`u${i}`, `10.0.0.${i}:1`, this.spans),
    );
    this.port = wrapPort(new FakePort(this.upstreams));
  }

  upstream(index: number): FakeUpstream {
    return must(this.upstreams[index], `no upstream ${index}`);
  }

  /** Starts an owner under a new term, and waits until it leads. */
  async startOwner(): Promise<Owner> {
    this.state = new DispatchState();
    const log = await ReplicatedLog.open<Command, CommandResult>({
      self: {name: 'm', incarnation: 'first'},
      voters: [{name: 'm', incarnation: 'first'}],
      mode: 'sync-everything',
      storage: this.storage,
      transport: {send: () => undefined},
      machine: this.state,
      random: () => 0.5,
    });
    this.log = log;
    log.onLeadership(({leader, term}) => {
      if (leader) this.owner = this.createOwner(log, term);
    });
    while (!this.owner) await this.advanceClock(10);
    return this.owner;
  }

  /** Ends the owner like a killed process: it sends no more orders. */
  kill(): void {
    this.owner?.close();
    this.owner = null;
    this.log?.abort();
  }

  /** Starts an owner, configures the queue and announces all upstreams. */
  async setUp(): Promise<void> {
    await this.startOwner();
    await this.waitFor(
      this.call({
        type: 'configure',
        configuration: {revision: 1, queues: [QUEUE], source: '{}'},
      }),
    );
    for (const upstream of this.upstreams) await this.announce(upstream);
    await this.advanceClock(50);
  }

  async announce(upstream: FakeUpstream, leaving = false): Promise<void> {
    const sequence = (this.sequences.get(upstream.id) ?? 0) + 1;
    this.sequences.set(upstream.id, sequence);
    const announcement = upstream.announcement(sequence, leaving);
    await this.waitFor(this.call({type: 'announce', upstream: announcement}));
  }

  /** Submits a job whose caller waits for the end. */
  submit(id: string, steps: readonly Step[] = [step(1)]): Promise<Reply> {
    return this.submitWith(id, steps, false);
  }

  /** Submits a durable job. */
  submitDurable(
    id: string,
    steps: readonly Step[] = [step(1)],
  ): Promise<Reply> {
    return this.submitWith(id, steps, true);
  }

  call(
    call: Parameters<Owner['handleCall']>[0],
    repeated = false,
  ): Promise<Reply> {
    return must(this.owner, 'no owner').handleCall(call, {ageMs: 0, repeated});
  }

  /** Evacuates a data centre, or readmits it. */
  async evacuate(dataCentre: string, evacuated = true): Promise<void> {
    const {revision: basedOn} = this.state.evacuations.get(dataCentre);
    const order = {dataCentre, evacuated, basedOn, operator: 'ops'};
    await this.waitFor(this.call({type: 'evacuate', ...order}));
  }

  /** Returns the state of a durable job. */
  async getJobState(id: string): Promise<string> {
    const path = `/q/${id}`;
    const reply = await this.call({type: 'state', host: 'host', path});
    return reply.type === 'state' ? reply.state : reply.type;
  }

  async advanceClock(ms: number): Promise<void> {
    await this.clock.tickAsync(ms);
  }

  /** Advances the clock until a promise is settled. */
  async waitFor<T>(promise: Promise<T>, withinMs = 20_000): Promise<T> {
    let done = false;
    void promise.then(
      () => (done = true),
      () => (done = true),
    );
    for (let ms = 0; ms < withinMs && !done; ms += 5)
      await this.advanceClock(5);
    if (!done) throw new Error(`not settled within ${withinMs} ms`);
    return promise;
  }

  async close(): Promise<void> {
    this.owner?.close();
    this.log?.abort();
    this.clock.uninstall();
  }

  private submitWith(
    id: string,
    steps: readonly Step[],
    durable: boolean,
  ): Promise<Reply> {
    const repeated = this.submittedIds.has(id);
    this.submittedIds.add(id);
    return this.call(
      {
        type: 'submit',
        host: 'host',
        path: `/q/${id}`,
        patienceMs: 1_500,
        job: {id, payload: 'text', steps, durable},
      },
      repeated,
    );
  }

  private createOwner(
    log: ReplicatedLog<Command, CommandResult>,
    term: number,
  ): Owner {
    return new Owner({
      log,
      state: this.state,
      port: this.port,
      logger: this.logger,
      metrics: this.metrics,
      term,
      earlierLeaseMs: this.earlierLeaseMs,
      leaseMs: FAKE_LEASE_MS,
      remoteFactor: 2,
      keepEndedMs: 60_000,
      address: '10.0.1.1:1',
      wasPaused: () => this.paused,
      learnedSpeeds: this.handsOverSpeeds ? this.speeds : null,
      shareSpeeds: speeds => (this.speeds = speeds),
    });
  }
}
