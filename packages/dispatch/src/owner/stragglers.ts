/**
 * Restarts tasks on other upstreams when their runs make too little progress.
 */
import type {OutlierEjection} from '@mustardferry/decisions';
import type {Logger, Metrics} from '@mustardferry/runtime';

import type {OpenTask, Run} from './job_table_types.js';
import type {PlacementPolicy} from './placement.js';
import type {PoolIndex} from './pool_index.js';
import type {UpstreamSession} from './upstream_session.js';
import type {UpstreamSpeed} from './upstream_speed.js';

export interface StragglersOptions {
  readonly placement: PlacementPolicy;
  readonly speed: UpstreamSpeed;
  readonly health: OutlierEjection;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly pool: (name: string) => PoolIndex;
  readonly avoidUpstream: (task: OpenTask, session: UpstreamSession) => void;
}

/** Time in ms that a stop order and the hold that reports its effect take. */
const STOP_OVERHEAD_MS = 60;

/**
 * Least ratio of the remaining time to the time on another upstream. A restart
 * discards work, so it must save at least half of the remaining time.
 */
const MIN_GAIN_FACTOR = 2;

/**
 * Most restarts of one task; more would only move the problem to other
 * upstreams.
 */
const MAX_RESTARTS_PER_TASK = 2;

/** Multiple of the expected run time from which a run counts as slow. */
const SLOW_RUN_FACTOR = 2;

/** Reviews the runs of an upstream after each of its progress reports. */
export class Stragglers {
  private readonly restarts = new WeakMap<OpenTask, number>();

  constructor(private readonly options: StragglersOptions) {}

  reviewRuns(session: UpstreamSession, now: number): void {
    for (const run of session.runs.all) {
      const {remainingMs} = run.progress;
      if (run.phase !== 'running' || remainingMs === null) continue;
      if (run.task.run === run) this.reviewRun(run, remainingMs, now);
    }
  }

  private reviewRun(run: Run, remainingMs: number, now: number): void {
    const {task, session} = run;
    const {speed, placement} = this.options;
    const {declaredMs} = task.step;
    const expectedMs = declaredMs * speed.getTimeFactor(session.key, now);
    const projectedMs = run.progress.elapsedMs + remainingMs;
    if (projectedMs < SLOW_RUN_FACTOR * expectedMs) return;
    if (Number.isFinite(remainingMs)) {
      speed.observe(session.key, projectedMs, declaredMs, now);
    }
    const restarts = this.restarts.get(task) ?? 0;
    if (restarts >= MAX_RESTARTS_PER_TASK) return;
    const pool = this.options.pool(task.job.admitted.pool);
    pool.refresh(now);
    const alternative = placement.chooseUpstream(task, {
      pool,
      now,
      excludedSession: session,
    });
    if (!alternative) return;
    const elsewhereMs = alternative.expectedMs + STOP_OVERHEAD_MS;
    if (remainingMs < MIN_GAIN_FACTOR * elsewhereMs) return;
    this.restarts.set(task, restarts + 1);
    this.restartTask(run, remainingMs, alternative.expectedMs);
  }

  private restartTask(run: Run, remainingMs: number, expectedMs: number): void {
    const {task, session, number, startedAt} = run;
    const {logger, metrics, avoidUpstream, health} = this.options;
    const now = performance.now();
    const isStalled = !Number.isFinite(remainingMs);
    logger.info('run-restarted', {
      job: task.id.job,
      task: task.key,
      run: number,
      upstream: session.record.id,
      remainingMs: isStalled ? 'no progress' : Math.round(remainingMs),
      elsewhereMs: Math.round(expectedMs),
      runMs: Math.round(now - startedAt),
    });
    metrics.increment('runs.restarted');
    if (isStalled) {
      const result = {upstream: session.key, taskId: task.key, ok: false};
      health.record({...result, runMs: now - startedAt, expectedMs}, now);
    }
    avoidUpstream(task, session);
    void session.stop(run);
  }
}
