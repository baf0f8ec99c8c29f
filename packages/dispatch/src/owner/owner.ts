/**
 * The work of a leader during one term: admits jobs, keeps a session with each
 * upstream, with the term as fencing token, and starts tasks.
 */
import type {ReplicatedLog} from '@mustardferry/coordination';
import type {Logger, Metrics} from '@mustardferry/runtime';

import type {Command, CommandResult} from '../jobs/commands.js';
import type {QueueConfig} from '../jobs/configuration.js';
import type {DispatchState} from '../jobs/dispatch_state.js';
import type {AdmittedJob} from '../jobs/job_types.js';
import type {Call, CallOrigin, Reply} from '../messages/calls.js';
import type {UpstreamPort} from '../upstreams/upstream_port.js';
import {CallHandler} from './call_handler.js';
import {Dispatcher} from './dispatcher.js';
import {computeExpiryBefore} from './ended_jobs.js';
import {JobTable} from './job_table.js';
import {MeasuredPort} from './measured_port.js';
import {OrderGate, type OrderObstacle} from './order_gate.js';
import {OwnerActivity} from './owner_activity.js';
import {CommandProposer} from './proposer.js';
import {SessionRegistry} from './session_registry.js';
import type {Contact} from './session_types.js';
import {StartTimeoutPort} from './start_timeout_port.js';
import {type SpeedSnapshot, UpstreamSpeed} from './upstream_speed.js';

/** Options of an owner. Durations are in milliseconds. */
export interface OwnerOptions {
  readonly log: ReplicatedLog<Command, CommandResult>;
  readonly state: DispatchState;
  readonly port: UpstreamPort;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly term: number;
  /** For how long an earlier leader may still give orders; 0 by default. */
  readonly earlierLeaseMs?: number;
  /** Longest lease that upstreams grant. */
  readonly leaseMs: number;
  readonly remoteFactor: number;
  /** How long ended jobs are kept in the replicated state. */
  readonly keepEndedMs: number;
  /** Address of this instance, sent to upstreams. */
  readonly address: string;
  /** Whether the process was suspended, so that its clock can't be trusted. */
  readonly wasPaused: () => boolean;
  /** Speeds that an earlier owner has learned; null if there are none. */
  readonly learnedSpeeds?: SpeedSnapshot | null;
  /** Receives the learned speeds about once a second, for the next owner. */
  readonly shareSpeeds?: (speeds: SpeedSnapshot) => void;
}

/**
 * Shorter than the leases that upstreams grant, so that the tasks of a lost
 * upstream can restart sooner. Long enough for one failed hold and its retry.
 */
const MAX_LEASE_MS = 700;

/** Extends lease times for the slowest clock of an upstream. */
const CLOCK_DRIFT_FACTOR = 1.02;

/** Margin for orders of earlier owners that are still in flight. */
const IN_FLIGHT_MARGIN_MS = 80;

/** Interval in ms between checks for upstreams that still list run ends. */
const LISTING_CHECK_MS = 50;

/** How long runs of unknown jobs are kept, as callers may resubmit the jobs. */
const ORPHAN_GRACE_MS = 2_500;

/** Interval between sweeps of silent upstreams and ended jobs. */
const SWEEP_INTERVAL_MS = 1_000;

/** Sweeps per removal of ended jobs from the replicated state. */
const SWEEPS_PER_EXPIRY = 10;

const NEW_CALL_ORIGIN: CallOrigin = {ageMs: 0, repeated: false};

/** Admits and dispatches jobs during one term of leadership. */
export class Owner {
  readonly name = 'owner';
  private readonly jobTable = new JobTable();
  private readonly speed: UpstreamSpeed;
  private readonly activity: OwnerActivity;
  private readonly dispatcher: Dispatcher;
  private readonly sessionRegistry: SessionRegistry;
  private readonly callHandler: CallHandler;
  private readonly proposer: CommandProposer;
  private readonly orderGate: OrderGate;
  private readonly timers: NodeJS.Timeout[] = [];
  private readonly leaseMs: number;
  private unfencedUpstreams = new Set<string>();
  private superseded = false;
  private closed = false;
  private sweepCount = 0;

  constructor(private readonly options: OwnerOptions) {
    const {log, logger, term, port, metrics} = options;
    this.activity = new OwnerActivity(metrics);
    this.speed = new UpstreamSpeed(options.learnedSpeeds);
    const {activity, speed} = this;
    const leaseMs = Math.min(options.leaseMs, MAX_LEASE_MS);
    this.leaseMs = leaseMs;
    this.proposer = new CommandProposer(log, logger, activity);
    this.orderGate = new OrderGate(logger, term, () => this.obstacle());
    const shared = {
      ...options,
      jobTable: this.jobTable,
      activity,
      speed,
      propose: (command: Command) => this.proposer.propose(command),
      maySendOrders: () => this.orderGate.maySendOrders(),
    };
    this.dispatcher = new Dispatcher({
      ...shared,
      onSuperseded: () => (this.superseded = true),
      onOtherIncarnation: (session, startedAt) =>
        this.sessionRegistry.replaced(session, startedAt),
      onFenced: session => this.markFenced(session.key),
    });
    const {dispatcher} = this;
    this.sessionRegistry = new SessionRegistry({
      ...shared,
      dispatcher,
      token: term,
      leaseMs,
      maxLeaseMs: options.leaseMs,
      port: new MeasuredPort(new StartTimeoutPort(port), activity),
    });
    const {sessionRegistry} = this;
    const handled = {...shared, dispatcher, sessionRegistry};
    this.callHandler = new CallHandler(handled);
    this.startTerm();
  }

  /** Whether any job is queued or running. */
  get hasOpenJobs(): boolean {
    return this.jobTable.openCount > 0;
  }

  /** Answers a call. */
  async handleCall(
    call: Call,
    origin: CallOrigin = NEW_CALL_ORIGIN,
  ): Promise<Reply> {
    if (!this.orderGate.maySendOrders()) return {type: 'not-leader'};
    return this.callHandler.handleCall(call, origin);
  }

  /** Drops a job whose caller's instance was lost. */
  abandon(job: string): void {
    this.callHandler.abandon(job);
  }

  close(): void {
    if (this.closed) return;
    this.closed = true;
    for (const timer of this.timers) clearTimeout(timer);
    this.proposer.close();
    this.orderGate.close();
    this.dispatcher.close();
    this.callHandler.close();
    // Gauges keep their last value, and the next owner runs in another process.
    this.setGauges(0, 0, 0);
  }

  /** Orders require the leader lease, so that no other leader can exist. */
  private obstacle(): OrderObstacle | null {
    if (this.closed) return 'closed';
    if (this.superseded) return 'superseded';
    if (this.options.wasPaused()) return 'paused';
    return this.options.log.leaseMs > 0 ? null : 'lease-over';
  }

  private startTerm(): void {
    const {state, term, logger, earlierLeaseMs = 0} = this.options;
    const now = performance.now();
    for (const record of state.jobs.values()) {
      if (record.outcome !== 'open') continue;
      const {job} = record;
      const queue =
        state.queues?.getQueue(job.queue) ?? createRemovedQueue(job);
      this.jobTable.recover(record, queue, now, term);
    }
    this.sessionRegistry.recoverSessions();
    this.unfencedUpstreams = new Set(
      this.sessionRegistry.openSessions.map(({key}) => key),
    );
    logger.info('owner-started', {
      term,
      upstreams: this.unfencedUpstreams.size,
      openJobs: this.jobTable.openCount,
      revision: state.queues?.configuration.revision,
      earlierLeaseMs: Math.round(earlierLeaseMs),
    });
    const settleMs =
      earlierLeaseMs + this.leaseMs * CLOCK_DRIFT_FACTOR + IN_FLIGHT_MARGIN_MS;
    this.completeFencingAfter(settleMs);
    this.timers.push(
      setTimeout(() => this.dispatcher.stopOrphans(), ORPHAN_GRACE_MS),
    );
    this.timers.push(setInterval(() => this.sweep(), SWEEP_INTERVAL_MS));
    if (this.unfencedUpstreams.size === 0) this.completeFencing('no upstreams');
  }

  private markFenced(key: string): void {
    this.unfencedUpstreams.delete(key);
    if (this.unfencedUpstreams.size === 0)
      this.completeFencing('all upstreams answered');
  }

  /**
   * Completes the fencing once the leases of earlier owners have expired. An
   * upstream that has answered since holds a lease of this owner, so the ends
   * that it has not listed yet remain valid and are waited for.
   */
  private completeFencingAfter(ms: number): void {
    const timer = setTimeout(() => {
      const {openSessions} = this.sessionRegistry;
      if (openSessions.some(({isListingEnds}) => isListingEnds)) {
        this.completeFencingAfter(LISTING_CHECK_MS);
      } else {
        this.completeFencing('leases expired');
      }
    }, ms);
    this.timers.push(timer);
  }

  /**
   * Allows all starts: every upstream has either listed its runs and run ends
   * under this owner's token, or its leases from earlier owners have expired.
   */
  private completeFencing(cause: string): void {
    if (this.closed || this.dispatcher.isRecoveryComplete) return;
    this.options.logger.info('owner-settled', {
      cause,
      unanswered: this.unfencedUpstreams.size,
      orphans: this.dispatcher.orphanCount,
    });
    this.jobTable.completeRecovery();
    this.dispatcher.completeRecovery();
  }

  private sweep(): void {
    if (!this.orderGate.maySendOrders()) return;
    this.sessionRegistry.removeInactiveUpstreams(performance.now());
    this.dispatcher.schedule();
    this.report();
    const speeds = this.speed.takeSnapshot();
    if (speeds) this.options.shareSpeeds?.(speeds);
    this.sweepCount++;
    if (this.sweepCount % SWEEPS_PER_EXPIRY !== 0) return;
    const before = computeExpiryBefore(this.options.keepEndedMs);
    this.proposer.propose({type: 'expire', before}).catch(() => undefined);
  }

  private report(): void {
    const upstreams: Partial<Record<Contact, number>> = {};
    let runs = 0;
    for (const session of this.sessionRegistry.openSessions) {
      upstreams[session.contactState] =
        (upstreams[session.contactState] ?? 0) + 1;
      runs += session.runs.size;
    }
    const openJobs = this.jobTable.openCount;
    const readyTasks = this.jobTable.readyCount;
    this.options.logger.info('owner-status', {
      term: this.options.term,
      openJobs,
      readyTasks,
      runs,
      upstreams,
      ...this.activity.takeReport(),
    });
    this.setGauges(openJobs, readyTasks, runs);
    this.dispatcher.evacuations.report();
  }

  private setGauges(openJobs: number, readyTasks: number, runs: number): void {
    const {metrics} = this.options;
    metrics.gauge('owner.open_jobs', openJobs);
    metrics.gauge('owner.ready_tasks', readyTasks);
    metrics.gauge('owner.runs', runs);
  }
}

/** Creates a substitute for a queue that a later configuration removed. */
function createRemovedQueue(job: AdmittedJob): QueueConfig {
  return {
    name: job.queue,
    host: '',
    prefix: '',
    pool: job.pool,
    priority: Number.MAX_SAFE_INTEGER,
    maxAttempts: job.maxAttempts,
    stretch: 1,
    targetMs: 0,
  };
}
