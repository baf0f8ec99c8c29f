/** Starts ready tasks on the upstreams that have room for them. */
import type {OutlierEjection} from '@mustardferry/decisions';
import type {Logger, Metrics} from '@mustardferry/runtime';

import type {BoardTask, Run} from './board_types.js';
import type {OwnerActivity} from './owner_activity.js';
import type {Placement, PlacementPolicy, Search} from './placement.js';
import {PoolIndex, REFRESH_MS} from './pool_index.js';
import {
  type Band,
  type OfferResult,
  OVERHEAD_MS,
  workOf,
} from './ready_queue.js';
import {RunProgress} from './run_progress.js';
import {type EstimatedJob, ServiceEstimate} from './service_estimate.js';
import type {TaskBoard} from './task_board.js';
import type {UpstreamSession} from './upstream_session.js';
import type {UpstreamSpeed} from './upstream_speed.js';

/** Options of the starter. */
export interface RunStarterOptions {
  readonly board: TaskBoard;
  readonly activity: OwnerActivity;
  readonly placement: PlacementPolicy;
  readonly speed: UpstreamSpeed;
  readonly health: OutlierEjection;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Told of a job that is worth nothing any more. */
  readonly onHopeless: (job: string) => void;
  readonly mayOrder: () => boolean;
}

/** A job of which nothing is known but its submission. */
export interface NewJob extends EstimatedJob {
  readonly pool: string;
}

/**
 * Share of the processors beyond which no task of a late job starts: what is
 * left serves the next jobs in time, which are worth five times as much.
 */
const MAX_SHARE_WITH_LATE = 0.85;

/** Upstreams of a pool up to which a task may have to use all of them. */
const SMALL_POOL = 4;

/** Owns the pools of upstreams. */
export class RunStarter {
  private readonly pools = new Map<string, PoolIndex>();
  private readonly estimates = new Map<PoolIndex, ServiceEstimate>();
  private retry: NodeJS.Timeout | null = null;
  private scheduled = false;
  private settled = false;
  private closed = false;

  constructor(private readonly options: RunStarterOptions) {}

  get isSettled(): boolean {
    return this.settled;
  }

  get sessions(): readonly UpstreamSession[] {
    return [...this.pools.values()].flatMap(({sessions}) => [...sessions]);
  }

  /** Upstreams of a pool. */
  pool(name: string): PoolIndex {
    let pool = this.pools.get(name);
    if (!pool) {
      pool = new PoolIndex(this.options.speed, this.options.activity);
      this.pools.set(name, pool);
    }
    return pool;
  }

  /** Whether a new job can end while it is of worth. */
  canServe(job: NewJob): boolean {
    const queue = this.options.board.readyQueues.get(job.pool);
    if (!queue || !this.settled) return true;
    const now = performance.now();
    const pool = this.pool(job.pool);
    pool.refresh(now);
    return this.estimate(pool).canServe(job, queue, now);
  }

  /** Allows the start of jobs that an earlier owner may have started. */
  settle(): void {
    this.settled = true;
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

  /** Notes that an upstream may take runs again. */
  reached(session: UpstreamSession): void {
    this.pool(session.record.pool).invalidate();
    this.schedule();
  }

  /** Starts what fits, once all messages that have arrived are taken. */
  schedule(): void {
    if (this.scheduled || this.closed) return;
    this.scheduled = true;
    setImmediate(() => {
      this.scheduled = false;
      if (this.closed) return;
      if (this.options.mayOrder()) this.startReady();
      else this.scheduleRetry();
    });
  }

  private startReady(): void {
    for (const [name, queue] of this.options.board.readyQueues) {
      if (queue.size === 0) continue;
      const now = performance.now();
      const pool = this.pool(name);
      pool.refresh(now);
      const search = {pool, now};
      const estimate = this.estimate(pool);
      queue.offerAll({
        now,
        fastestFactor: pool.fastestFactor,
        isOffered: task => this.settled || task.job.isNew,
        offer: (task, band) => this.offer(task, band, search),
        drop: task => this.drop(task),
        canServeLate: ({job}) => {
          const {priority} = job.queue;
          return estimate.canServeLate({...job, priority}, queue, now);
        },
      });
      if (queue.size > 0 && pool.isPartial) this.scheduleRetry();
      this.options.activity.took('pass', performance.now() - now);
    }
  }

  /** Orders, or upstreams that were left out, may be possible again soon. */
  private scheduleRetry(): void {
    this.retry ??= setTimeout(() => {
      this.retry = null;
      this.schedule();
    }, REFRESH_MS);
  }

  private drop({job}: BoardTask): boolean {
    if (job.admitted.durable) return false;
    this.options.onHopeless(job.admitted.id);
    return true;
  }

  private offer(task: BoardTask, band: Band, search: Search): OfferResult {
    const {placement, activity} = this.options;
    activity.count('offered');
    const {pool, now} = search;
    if (pool.size === 0) return 'full';
    const isLate = band !== 'in-time';
    if (isLate && pool.usedShare > MAX_SHARE_WITH_LATE) return 'full';
    const found = placement.choose(task, search);
    if (!found) {
      if (pool.size <= SMALL_POOL) task.avoid = [];
      return 'passed-over';
    }
    if (found.marginMs < 0 && isInTimeElsewhere(task, search)) {
      return 'passed-over';
    }
    if (isLate) this.estimate(pool).noteLateStart(workOf(task), now);
    this.start(task, found, now);
    return 'placed';
  }

  private estimate(pool: PoolIndex): ServiceEstimate {
    let estimate = this.estimates.get(pool);
    if (!estimate) {
      estimate = new ServiceEstimate(pool);
      this.estimates.set(pool, estimate);
    }
    return estimate;
  }

  private start(task: BoardTask, found: Placement, now: number): void {
    const {session, expectedMs, marginMs} = found;
    const run: Run = {
      task,
      number: task.lastRun + 1,
      session,
      startedAt: now,
      phase: 'starting',
      confirmedAt: Infinity,
      stopAckedAt: Infinity,
      progress: new RunProgress(),
      ranMs: null,
    };
    task.lastRun = run.number;
    task.run = run;
    task.phase = 'active';
    this.options.logger.info('task-start', {
      job: task.id.job,
      task: task.key,
      run: run.number,
      upstream: session.record.id,
      waitedMs: Math.round(now - task.job.since),
      expectedMs: Math.round(expectedMs),
      marginMs: Math.round(marginMs),
    });
    this.options.metrics.increment('starts');
    this.options.activity.count('started');
    if (marginMs < 0) this.options.activity.count('startedLate');
    this.options.health.recordProbeStart(session.key);
    void session.start(run);
  }
}

/** Whether a task would end in time on the fastest upstream. */
function isInTimeElsewhere(
  {job, step}: BoardTask,
  {now, pool: {fastestFactor}}: Search,
): boolean {
  const endMs = now - job.since + step.declaredMs * fastestFactor + OVERHEAD_MS;
  return endMs <= job.objectiveMs;
}
