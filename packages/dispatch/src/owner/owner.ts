/**
 * The leader's work: admits jobs, keeps one session with each upstream under
 * its term as the fencing token, and starts tasks. It lives for one term.
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
import {JobTable} from './job_table.js';
import {MeasuredPort} from './measured_port.js';
import {OrderingWatch, type OrderObstacle} from './ordering_watch.js';
import {OwnerActivity} from './owner_activity.js';
import {Proposer} from './proposer.js';
import {Registrar} from './registrar.js';
import type {Contact} from './session_types.js';

/** Options of an owner. Durations are in milliseconds. */
export interface OwnerOptions {
  readonly log: ReplicatedLog<Command, CommandResult>;
  readonly state: DispatchState;
  readonly port: UpstreamPort;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly term: number;
  /** Longest lease that upstreams grant. */
  readonly leaseMs: number;
  readonly remoteFactor: number;
  /** Time for which ended jobs are remembered. */
  readonly keepEndedMs: number;
  /** Address of this instance, told to upstreams. */
  readonly address: string;
  /** Whether the process was paused, so that its clock can't be trusted. */
  readonly wasPaused: () => boolean;
}

/**
 * Leases are shorter than upstreams grant, so that the tasks of a lost upstream
 * are free sooner; a hold that fails and its repetition still fit.
 */
const LONGEST_LEASE_MS = 700;

/** Slowest clock of an upstream, and a margin for orders on their way. */
const LEASE_STRETCH = 1.02;
const SETTLE_MARGIN_MS = 80;

/** How long runs of jobs that are not known yet are left alone. */
const ORPHAN_GRACE_MS = 2_500;

/** Period of the sweep of silent upstreams and ended jobs. */
const SWEEP_MS = 1_000;

/** Sweeps between two removals of ended jobs from the replicated state. */
const SWEEPS_PER_EXPIRY = 10;

const NEW_CALL: CallOrigin = {ageMs: 0, repeated: false};

/** Work of one term of leadership. */
export class Owner {
  readonly name = 'owner';
  private readonly jobTable = new JobTable();
  private readonly activity: OwnerActivity;
  private readonly dispatcher: Dispatcher;
  private readonly registrar: Registrar;
  private readonly calls: CallHandler;
  private readonly proposer: Proposer;
  private readonly ordering: OrderingWatch;
  private readonly timers: NodeJS.Timeout[] = [];
  private readonly leaseMs: number;
  private unfenced = new Set<string>();
  private superseded = false;
  private closed = false;
  private sweeps = 0;

  constructor(private readonly options: OwnerOptions) {
    const {log, logger, term, port, metrics} = options;
    this.activity = new OwnerActivity(metrics);
    const {activity} = this;
    const leaseMs = Math.min(options.leaseMs, LONGEST_LEASE_MS);
    this.leaseMs = leaseMs;
    this.proposer = new Proposer(log, logger, activity);
    this.ordering = new OrderingWatch(logger, term, () => this.obstacle());
    const shared = {
      ...options,
      jobTable: this.jobTable,
      activity,
      propose: (command: Command) => this.proposer.propose(command),
      maySendOrders: () => this.ordering.maySendOrders(),
    };
    this.dispatcher = new Dispatcher({
      ...shared,
      onSuperseded: () => (this.superseded = true),
      onOtherIncarnation: (session, startedAt) =>
        this.registrar.replaced(session, startedAt),
      onFenced: session => this.fenced(session.key),
    });
    const {dispatcher} = this;
    this.registrar = new Registrar({
      ...shared,
      dispatcher,
      token: term,
      leaseMs,
      port: new MeasuredPort(port, activity),
    });
    const {registrar} = this;
    this.calls = new CallHandler({...shared, dispatcher, registrar});
    this.begin();
  }

  /** Answers a call. */
  async handleCall(call: Call, origin: CallOrigin = NEW_CALL): Promise<Reply> {
    if (!this.ordering.maySendOrders()) return {type: 'not-leader'};
    return this.calls.handleCall(call, origin);
  }

  /** Drops a job whose caller's instance is lost. */
  abandon(job: string): void {
    this.calls.abandon(job);
  }

  close(): void {
    if (this.closed) return;
    this.closed = true;
    for (const timer of this.timers) clearTimeout(timer);
    this.proposer.close();
    this.ordering.close();
    this.dispatcher.close();
    this.calls.close();
    // Gauges keep their last value, and the next owner is elsewhere.
    this.gauges(0, 0, 0);
  }

  /** Orders need this leader's lease, so that no other leader can exist. */
  private obstacle(): OrderObstacle | null {
    if (this.closed) return 'closed';
    if (this.superseded) return 'superseded';
    if (this.options.wasPaused()) return 'paused';
    return this.options.log.status().leaseMs > 0 ? null : 'lease-over';
  }

  private begin(): void {
    const {state, term, logger} = this.options;
    const now = performance.now();
    for (const record of state.jobs.values()) {
      if (record.outcome !== 'open') continue;
      const {job} = record;
      const queue = state.queues?.getQueue(job.queue) ?? droppedQueue(job);
      this.jobTable.recover(record, queue, now, term);
    }
    this.registrar.recover();
    this.unfenced = new Set(this.registrar.all.map(({key}) => key));
    logger.info('owner-started', {
      term,
      upstreams: this.unfenced.size,
      openJobs: this.jobTable.openCount,
      revision: state.queues?.configuration.revision,
    });
    const settleMs = this.leaseMs * LEASE_STRETCH + SETTLE_MARGIN_MS;
    this.timers.push(setTimeout(() => this.settle('leases over'), settleMs));
    this.timers.push(
      setTimeout(() => this.dispatcher.stopOrphans(), ORPHAN_GRACE_MS),
    );
    this.timers.push(setInterval(() => this.sweep(), SWEEP_MS));
    if (this.unfenced.size === 0) this.settle('no upstreams');
  }

  private fenced(key: string): void {
    this.unfenced.delete(key);
    if (this.unfenced.size === 0) this.settle('all upstreams answered');
  }

  /**
   * All starts are safe from now on: every upstream either told its runs under
   * this owner's token, or its leases from earlier owners are over.
   */
  private settle(cause: string): void {
    if (this.closed || this.dispatcher.isRecoveryComplete) return;
    this.options.logger.info('owner-settled', {
      cause,
      unanswered: this.unfenced.size,
      orphans: this.dispatcher.orphanCount,
    });
    this.jobTable.completeRecovery();
    this.dispatcher.completeRecovery();
  }

  private sweep(): void {
    if (!this.ordering.maySendOrders()) return;
    this.registrar.sweep(performance.now());
    this.dispatcher.schedule();
    this.report();
    this.sweeps++;
    if (this.sweeps % SWEEPS_PER_EXPIRY !== 0) return;
    const before = Date.now() - this.options.keepEndedMs;
    this.proposer.propose({type: 'expire', before}).catch(() => undefined);
  }

  private report(): void {
    const upstreams: Partial<Record<Contact, number>> = {};
    let runs = 0;
    for (const session of this.registrar.all) {
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
    this.gauges(openJobs, readyTasks, runs);
  }

  private gauges(openJobs: number, readyTasks: number, runs: number): void {
    const {metrics} = this.options;
    metrics.gauge('owner.open_jobs', openJobs);
    metrics.gauge('owner.ready_tasks', readyTasks);
    metrics.gauge('owner.runs', runs);
  }
}

/** Stands in for a queue that a later configuration removed. */
function droppedQueue(job: AdmittedJob): QueueConfig {
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
