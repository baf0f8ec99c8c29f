/** Starts ready tasks on upstreams with enough free capacity. */
import type {OutlierEjection} from '@mustardferry/decisions';
import type {Logger, Metrics} from '@mustardferry/runtime';

import type {JobTable} from './job_table.js';
import type {OpenTask, Run} from './job_table_types.js';
import type {OwnerActivity} from './owner_activity.js';
import type {Placement, PlacementPolicy, PlacementSearch} from './placement.js';
import {PoolIndex, REFRESH_INTERVAL_MS} from './pool_index.js';
import {
  computeWork,
  DISPATCH_OVERHEAD_MS,
  type LatenessBand,
  type OfferResult,
} from './ready_queue.js';
import {RunProgress} from './run_progress.js';
import {type EstimatedJob, ServiceEstimate} from './service_estimate.js';
import {ProbeRuns} from './upstream_ejection.js';
import type {UpstreamSession} from './upstream_session.js';
import type {UpstreamSpeed} from './upstream_speed.js';

export interface RunStarterOptions {
  readonly jobTable: JobTable;
  readonly activity: OwnerActivity;
  readonly placement: PlacementPolicy;
  readonly speed: UpstreamSpeed;
  readonly health: OutlierEjection;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called when the result of a job would come too late to be useful. */
  readonly onUselessJob: (job: string) => void;
  /** Whether orders may be sent to upstreams now. */
  readonly maySendOrders: () => boolean;
}

/** A submitted job that is not in the job table yet. */
export interface NewJob extends EstimatedJob {
  readonly pool: string;
}

/**
 * CPU utilization of a pool above which no task of a late job starts. The rest
 * is reserved for jobs that can end in time, whose results are worth five times
 * as much.
 */
const MAX_UTILIZATION_FOR_LATE = 0.85;

/**
 * Number of upstreams with the label of a task up to which it soon stops
 * avoiding some when it has no placement, as it may need all of them.
 */
const SMALL_POOL_SIZE = 4;

/** Holds the upstream pools of an owner and starts ready tasks on them. */
export class RunStarter {
  private readonly pools = new Map<string, PoolIndex>();
  private readonly estimates = new Map<PoolIndex, ServiceEstimate>();
  private readonly probes: ProbeRuns;
  private retry: NodeJS.Timeout | null = null;
  private scheduled = false;
  private recoveryComplete = false;
  private closed = false;

  constructor(private readonly options: RunStarterOptions) {
    this.probes = new ProbeRuns(options.health);
  }

  get isRecoveryComplete(): boolean {
    return this.recoveryComplete;
  }

  get sessions(): readonly UpstreamSession[] {
    return [...this.pools.values()].flatMap(({sessions}) => [...sessions]);
  }

  /** Returns the pool with a name; creates it on first use. */
  pool(name: string): PoolIndex {
    let pool = this.pools.get(name);
    if (!pool) {
      pool = new PoolIndex(this.options.speed, this.options.activity);
      this.pools.set(name, pool);
    }
    return pool;
  }

  /** Whether a new job can end while its result is useful. */
  canServe(job: NewJob): boolean {
    const queue = this.options.jobTable.readyQueues.get(job.pool);
    if (!queue || !this.recoveryComplete) return true;
    const now = performance.now();
    const pool = this.pool(job.pool);
    pool.refresh(now);
    return this.getEstimate(pool).canServe(job, queue, now);
  }

  /** Allows starts for jobs that an earlier owner may have started. */
  completeRecovery(): void {
    this.recoveryComplete = true;
    this.schedule();
  }

  close(): void {
    this.closed = true;
    if (this.retry) clearTimeout(this.retry);
  }

  add(session: UpstreamSession): void {
    this.pool(session.record.pool).add(session);
  }

  remove(session: UpstreamSession): void {
    this.pool(session.record.pool).remove(session);
  }

  /** Makes the next passes read the states of all upstreams. */
  invalidate(): void {
    for (const pool of this.pools.values()) pool.invalidate();
    this.schedule();
  }

  /** Makes an upstream available again once it is reached. */
  resumeStarts(session: UpstreamSession): void {
    this.pool(session.record.pool).invalidate();
    this.schedule();
  }

  /**
   * Starts the ready tasks that fit, after the messages that have already
   * arrived are handled.
   */
  schedule(): void {
    if (this.scheduled || this.closed) return;
    this.scheduled = true;
    setImmediate(() => {
      this.scheduled = false;
      if (this.closed) return;
      if (this.options.maySendOrders()) this.startReady();
      else this.scheduleRetry();
    });
  }

  private startReady(): void {
    this.probes.postponeEnded(performance.now());
    for (const [name, queue] of this.options.jobTable.readyQueues) {
      if (queue.size === 0) continue;
      const now = performance.now();
      const pool = this.pool(name);
      pool.refresh(now);
      const search = {pool, now};
      const estimate = this.getEstimate(pool);
      const needsAnother = queue.offerAll({
        now,
        fastestTimeFactor: pool.fastestTimeFactor,
        mayStart: task => this.recoveryComplete || task.job.isNew,
        offer: (task, band) => this.tryStart(task, band, search),
        dropJob: task => this.dropJob(task),
        canServeLate: ({job}) => {
          const {priority} = job.queue;
          return estimate.canServeLate({...job, priority}, queue, now);
        },
      });
      if (needsAnother || (queue.size > 0 && pool.hasExcluded)) {
        this.scheduleRetry();
      }
      this.options.activity.recordDuration('pass', performance.now() - now);
    }
  }

  /**
   * Schedules another pass: orders may be allowed, or excluded upstreams
   * available, again soon.
   */
  private scheduleRetry(): void {
    this.retry ??= setTimeout(() => {
      this.retry = null;
      this.schedule();
    }, REFRESH_INTERVAL_MS);
  }

  private dropJob({job}: OpenTask): boolean {
    if (job.admitted.durable) return false;
    this.options.onUselessJob(job.admitted.id);
    return true;
  }

  private tryStart(
    task: OpenTask,
    band: LatenessBand,
    search: PlacementSearch,
  ): OfferResult {
    const {placement, activity} = this.options;
    activity.count('offered');
    const {pool, now} = search;
    if (pool.availableCount === 0) return 'full';
    const isLate = band !== 'in-time';
    if (isLate && pool.cpuUtilization > MAX_UTILIZATION_FOR_LATE) return 'full';
    const chosen = placement.chooseUpstream(task, search);
    if (!chosen) return this.handleUnplaced(task, search);
    if (chosen.marginMs < 0 && couldEndInTime(task, search)) {
      return 'skipped';
    }
    if (isLate) this.getEstimate(pool).recordLateStart(computeWork(task), now);
    this.start(task, chosen, now);
    return 'placed';
  }

  /** Offers a task again that has no placement as it avoids upstreams. */
  private handleUnplaced(
    task: OpenTask,
    {pool, now}: PlacementSearch,
  ): OfferResult {
    if (!task.avoidedUpstreams.some(({until}) => until > now)) return 'blocked';
    const suitableCount = pool.getTree(task.step.label)?.size ?? 0;
    if (suitableCount <= SMALL_POOL_SIZE) {
      const latest = now + REFRESH_INTERVAL_MS;
      task.avoidedUpstreams = task.avoidedUpstreams.map(({key, until}) => ({
        key,
        until: Math.min(until, latest),
      }));
    }
    this.scheduleRetry();
    return 'skipped';
  }

  private getEstimate(pool: PoolIndex): ServiceEstimate {
    let estimate = this.estimates.get(pool);
    if (!estimate) {
      estimate = new ServiceEstimate(pool);
      this.estimates.set(pool, estimate);
    }
    return estimate;
  }

  private start(task: OpenTask, chosen: Placement, now: number): void {
    const {session, expectedMs, marginMs} = chosen;
    const run: Run = {
      task,
      number: task.lastRunNumber + 1,
      session,
      startedAt: now,
      phase: 'starting',
      confirmedAt: Infinity,
      stopAckedAt: Infinity,
      progress: new RunProgress(),
      measuredRunMs: null,
    };
    task.lastRunNumber = run.number;
    task.run = run;
    task.phase = 'active';
    this.options.logger.info('task-start', {
      job: task.id.job,
      task: task.key,
      run: run.number,
      upstream: session.record.id,
      waitedMs: Math.round(now - task.job.receivedAt),
      expectedMs: Math.round(expectedMs),
      marginMs: Math.round(marginMs),
    });
    this.options.metrics.increment('starts');
    this.options.activity.count('started');
    if (marginMs < 0) this.options.activity.count('startedLate');
    void session.start(run);
    this.probes.recordStart(run);
  }
}

/**
 * Whether a task would end in time if it started now on the fastest upstream.
 */
function couldEndInTime(
  {job, step}: OpenTask,
  {now, pool: {fastestTimeFactor}}: PlacementSearch,
): boolean {
  const endMs =
    now -
    job.receivedAt +
    step.declaredMs * fastestTimeFactor +
    DISPATCH_OVERHEAD_MS;
  return endMs <= job.objectiveMs;
}
