/**
 * Runs the leader's and the carriers' code on stand-in upstreams, so that it is
 * compiled before this member leads. Until then a start costs several times as
 * much, and a new leader falls behind its callers in its first seconds.
 */
import {MemoryLogStorage, ReplicatedLog} from '@mustardferry/coordination';
import {FrameServer} from '@mustardferry/links';
import {
  type Closable,
  createLogger,
  LifecycleManager,
  type Logger,
  NullMetrics,
} from '@mustardferry/runtime';

import {relayOrder} from '../instance/order_carrier.js';
import {OrderRelay} from '../instance/order_relay.js';
import type {Command, CommandResult} from '../jobs/commands.js';
import type {QueueConfig} from '../jobs/configuration.js';
import {DispatchState} from '../jobs/dispatch_state.js';
import type {Step} from '../jobs/job_types.js';
import type {PeerMessage} from '../messages/peer_messages.js';
import {Owner} from '../owner/owner.js';
import {sleep} from '../owner/waiting.js';
import type {UpstreamRecord} from '../upstreams/upstream_types.js';
import {STAND_IN_RUN_MS, StandInPort} from './stand_in_port.js';

/** Options of a warm-up. */
export interface OwnerWarmUpOptions {
  readonly logger: Logger;
  readonly getLoad: () => MemberLoad;
}

/** Real work of a member, which goes before its warm-up. */
export type MemberLoad =
  | 'idle'
  /** Relays orders: the warm-up goes on slowly. */
  | 'carrying'
  /** Leads with open jobs, which compile the code as well. */
  | 'leading';

/**
 * Number of jobs, of four tasks each, after which the code is compiled. With
 * 200 to 1,000 jobs the next 60 jobs took about the same processor time: 241 to
 * 330 ms on a busy machine, and 363 ms without a warm-up.
 */
const JOB_COUNT = 200;

const TASKS_PER_JOB = 4;

/** Jobs submitted at once; bounds how long they block the event loop. */
const BATCH_SIZE = 20;

/** Number of upstreams; orders to that many go through a carrier. */
const UPSTREAM_COUNT = 80;

/** Pause in ms between batches beside real work, of which they take a tenth. */
const BUSY_PAUSE_MS = 500;

/**
 * Least pause in ms between batches. Each pause is as long as the batch before
 * took, so that the warm-up takes at most half of the processor.
 */
const MIN_PAUSE_MS = 10;

/** Time in ms after which a warm-up that is held up is given up. */
const MAX_DURATION_MS = 60_000;

/** How long each caller waits, in ms. */
const PATIENCE_MS = 2_000;

/** Longest lease in ms that the stand-ins grant. */
const LEASE_MS = 1_000;

const MEMBER = {name: 'warm-up', incarnation: 'first'};

const LOOPBACK = '127.0.0.1';

const SILENT = createLogger('silent');

const QUEUE: QueueConfig = {
  name: 'warm-up',
  host: 'warm-up',
  prefix: '/',
  pool: 'warm-up',
  priority: 0,
  maxAttempts: 2,
  stretch: 2,
  targetMs: 100,
};

const STEP: Step = {
  tasks: TASKS_PER_JOB,
  cpuMillis: 500,
  memoryMb: 1,
  accelerators: 0,
  declaredMs: STAND_IN_RUN_MS,
  after: [],
  label: '',
  dataRack: '',
  maxPerUpstream: 0,
};

/** Warms up once; closing ends it early. */
export class OwnerWarmUp implements Closable {
  readonly name = 'owner-warm-up';
  /** Resolves when the warm-up has ended, for whatever reason. */
  readonly done: Promise<void>;
  private readonly life = new LifecycleManager('owner-warm-up');
  private readonly startedAt = performance.now();
  private readonly state = new DispatchState();
  private owner: Owner | null = null;
  private closed = false;
  private jobs = 0;

  constructor(private readonly options: OwnerWarmUpOptions) {
    this.done = this.run().finally(() => this.life.close());
  }

  /** Number of stand-in jobs that have ended. */
  get jobCount(): number {
    return this.jobs;
  }

  /** Ends the warm-up after its current batch. */
  async close(): Promise<void> {
    this.closed = true;
    await this.done;
  }

  private async run(): Promise<void> {
    const {logger} = this.options;
    try {
      await this.openOwner();
      await this.runBatches();
      logger.info('warm-up-ended', {
        jobs: this.jobs,
        tookMs: Math.round(performance.now() - this.startedAt),
      });
    } catch (err) {
      // The member serves without a warm-up, only slower at first.
      if (!this.closed) logger.warn('warm-up-failed', {err});
    }
  }

  private async openOwner(): Promise<void> {
    const {state, life} = this;
    const log = await this.openLog();
    const relay = await this.openRelay();
    const term = await awaitLeadership(log);
    await log.propose({
      type: 'configure',
      configuration: {revision: 1, queues: [QUEUE], source: '{}'},
    });
    for (let i = 0; i < UPSTREAM_COUNT; i++) {
      await log.propose({type: 'upstream', upstream: createRecord(i)});
    }
    if (this.closed) return;
    this.owner = life.own(
      new Owner({
        log,
        state,
        port: relay.port,
        logger: SILENT,
        metrics: new NullMetrics(),
        term,
        leaseMs: LEASE_MS,
        remoteFactor: 1,
        keepEndedMs: LEASE_MS,
        address: MEMBER.name,
        wasPaused: () => false,
      }),
    );
  }

  /** Opens a log of its own in memory, with this member as the only voter. */
  private async openLog(): Promise<ReplicatedLog<Command, CommandResult>> {
    const log = await ReplicatedLog.open<Command, CommandResult>({
      self: MEMBER,
      voters: [MEMBER],
      mode: 'sync-everything',
      storage: new MemoryLogStorage<Command>(),
      transport: {send: () => undefined},
      machine: this.state,
    });
    this.life.defer('warm-up-log', () => log.close());
    return log;
  }

  /** Opens a carrier on loopback and the leader's connection to it. */
  private async openRelay(): Promise<OrderRelay> {
    const {state, life} = this;
    const port = new StandInPort();
    life.defer('stand-in-port', () => port.close());
    const server = life.own(
      await FrameServer.open<PeerMessage>({
        host: LOOPBACK,
        port: 0,
        onOpen: () => undefined,
        onMessage: (channel, message) => {
          if (message.type !== 'order') return;
          void relayOrder(port, message).then(each => channel.send(each));
        },
        onClose: () => undefined,
        onMalformed: err => this.options.logger.warn('warm-up-failed', {err}),
      }),
    );
    const carrier = {address: `${LOOPBACK}:${server.port}`, dataCentre: ''};
    const relay = life.own(
      new OrderRelay({
        directPort: port,
        getCarriers: () => [carrier],
        upstreams: () => state.upstreams.size,
        sendOnLogLink: () => false,
        logger: SILENT,
      }),
    );
    relay.clockRead(carrier.address, performance.now());
    return relay;
  }

  private async runBatches(): Promise<void> {
    while (!this.closed && this.jobs < JOB_COUNT) {
      if (performance.now() - this.startedAt > MAX_DURATION_MS) return;
      const load = this.options.getLoad();
      if (load !== 'idle') await sleep(BUSY_PAUSE_MS);
      if (load === 'leading') continue;
      const from = performance.now();
      await Promise.all(
        Array.from({length: BATCH_SIZE}, (_, i) => this.runJob(this.jobs + i)),
      );
      this.jobs += BATCH_SIZE;
      await sleep(Math.max(MIN_PAUSE_MS, performance.now() - from));
    }
  }

  private async runJob(number: number): Promise<void> {
    const id = number.toString(16).padStart(16, '0');
    await this.owner?.handleCall({
      type: 'submit',
      host: QUEUE.host,
      path: QUEUE.prefix + id,
      patienceMs: PATIENCE_MS,
      job: {id, payload: '', steps: [STEP], durable: false},
    });
  }
}

function awaitLeadership(
  log: ReplicatedLog<Command, CommandResult>,
): Promise<number> {
  return new Promise(resolve =>
    log.onLeadership(({leader, term}) => {
      if (leader) resolve(term);
    }),
  );
}

function createRecord(index: number): UpstreamRecord {
  return {
    id: `warm-up-${index}`,
    startedAt: 1,
    pool: QUEUE.pool,
    address: `${LOOPBACK}:${index + 1}`,
    dataCentre: '',
    leaving: false,
    cpuMillis: 2 * STEP.cpuMillis,
    memoryMb: 1_000,
    accelerators: 0,
    labels: [],
  };
}
