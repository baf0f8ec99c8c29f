/** Derives the health and concurrency limit of upstreams from task outcomes. */
import {
  AdaptiveConcurrency,
  OutlierEjection,
  type RunTimeEstimator,
} from '@mustardferry/decisions';
import type {Logger, Metrics} from '@mustardferry/runtime';

import type {UpstreamPool} from '../upstreams/upstream_pool.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {RunningAttempt, TaskEntry} from './task_entry.js';

/** Options of {@link UpstreamMonitor}. */
export interface UpstreamMonitorOptions {
  readonly pool: UpstreamPool;
  readonly estimator: RunTimeEstimator;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called when an upstream may take more tasks. */
  readonly onUpstreamAvailable: () => void;
}

const PROBE_CHECK_PERIOD_MS = 100;
/** Samples needed before a slow run lowers the concurrency limit of an upstream. */
const MIN_SAMPLES = 8;
/** Limit from which a readmitted upstream is no longer limited. */
const READMITTED_LIMIT = 8;

/** Ejects unhealthy upstreams, probes them and limits concurrency. */
export class UpstreamMonitor {
  private readonly ejection = new OutlierEjection();
  private readonly concurrency = new Map<string, AdaptiveConcurrency>();
  private readonly unhealthy = new Set<string>();
  /** Most tasks at once on upstreams of readmitted data centres. */
  private readonly readmitted = new Map<string, number>();
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly options: UpstreamMonitorOptions) {
    this.timer = setInterval(() => this.checkProbes(), PROBE_CHECK_PERIOD_MS);
  }

  add(key: string, slots: number): void {
    this.ejection.add(key);
    this.concurrency.set(key, new AdaptiveConcurrency(slots));
  }

  remove(key: string): void {
    this.ejection.remove(key);
    this.concurrency.delete(key);
    this.unhealthy.delete(key);
    this.readmitted.delete(key);
  }

  /**
   * Limits an upstream whose data centre was readmitted to one task, and to
   * twice as many after each success: it may be slow at first, and queued jobs
   * would load it all at once.
   */
  readmit(key: string): void {
    this.readmitted.set(key, 1);
    this.updateAllowance(key, Date.now());
  }

  /** Records that an attempt was sent; on an ejected upstream, it is the probe. */
  recordSent(attempt: RunningAttempt): void {
    const {upstream} = attempt;
    if (!this.unhealthy.has(upstream)) return;
    this.ejection.recordProbeStart(upstream);
    this.updateAllowance(upstream, Date.now());
  }

  /** Updates health and concurrency limit with an outcome. */
  recordOutcome(
    entry: TaskEntry,
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    now: number,
  ): void {
    this.limit(entry, attempt, outcome, now);
    if (outcome.type === 'done') this.raiseReadmitted(attempt.upstream, now);
    const ok = outcome.type === 'done';
    const failed =
      outcome.type === 'task-error' ||
      outcome.type === 'unresolved' ||
      (outcome.type === 'not-started' && outcome.reason !== 'sealed');
    if (!ok && !failed) {
      this.ejection.discardProbe(attempt.upstream);
      if (this.unhealthy.has(attempt.upstream)) {
        this.updateAllowance(attempt.upstream, now);
      }
      return;
    }
    this.recordHealth(entry, attempt, ok, now);
  }

  close(): void {
    clearInterval(this.timer);
  }

  private recordHealth(
    entry: TaskEntry,
    attempt: RunningAttempt,
    ok: boolean,
    now: number,
  ): void {
    const changes = this.ejection.record(
      {
        upstream: attempt.upstream,
        taskId: entry.queued.taskId,
        ok,
        runMs: now - attempt.startedAtMs,
        expectedMs: attempt.expectedRunMs,
      },
      now,
    );
    for (const {upstream, state, reason} of changes) {
      this.options.logger.info('upstream-health', {upstream, state, reason});
      this.options.metrics.increment('upstreams.health_changes', 1, {state});
      if (state === 'available') this.unhealthy.delete(upstream);
      else this.unhealthy.add(upstream);
      this.updateAllowance(upstream, now);
    }
    if (this.unhealthy.has(attempt.upstream))
      this.updateAllowance(attempt.upstream, now);
  }

  private limit(
    entry: TaskEntry,
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    now: number,
  ): void {
    const {upstream} = attempt;
    const adaptive = this.concurrency.get(upstream);
    const refused = outcome.type === 'refused' && outcome.refusal === 'no-slot';
    if (adaptive === undefined || !(refused || outcome.type === 'done')) return;
    const {team, kind, expectedRunMs} = entry.queued;
    const question = {team, kind, upstream, declaredMs: expectedRunMs};
    const {p95Ms, samples} = this.options.estimator.estimate(question);
    if (!refused && samples < MIN_SAMPLES) return;
    const running = this.options.pool.candidates.get(upstream)?.running ?? 0;
    // Run times of a kind vary, so only runs beyond the p95 count as slow.
    const slowdown =
      outcome.type === 'done' ? Math.max(1, outcome.runMs / p95Ms) : 1;
    adaptive.observe({slowdown, refused, running}, now);
    this.updateAllowance(upstream, now);
  }

  private raiseReadmitted(upstream: string, now: number): void {
    const limit = this.readmitted.get(upstream);
    if (limit === undefined) return;
    if (limit * 2 < READMITTED_LIMIT) this.readmitted.set(upstream, limit * 2);
    else this.readmitted.delete(upstream);
    this.updateAllowance(upstream, now);
  }

  private checkProbes(): void {
    const now = Date.now();
    for (const upstream of this.unhealthy) this.updateAllowance(upstream, now);
  }

  private updateAllowance(upstream: string, now: number): void {
    const {pool, onUpstreamAvailable} = this.options;
    const {allowance} = this.ejection.getStatus(upstream, now);
    const before = pool.candidates.get(upstream)?.freeCredits ?? 0;
    const limit = Math.min(
      this.concurrency.get(upstream)?.limit ?? Infinity,
      this.readmitted.get(upstream) ?? Infinity,
    );
    pool.setAllowance(upstream, Math.min(allowance, limit));
    const after = pool.candidates.get(upstream)?.freeCredits ?? 0;
    if (after > before) onUpstreamAvailable();
  }
}
