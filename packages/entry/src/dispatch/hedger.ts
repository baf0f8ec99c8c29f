/** Starts second attempts of slow tasks when the hedging policy decides so. */
import type {
  HedgingPolicy,
  RoutingPolicy,
  RunTimeEstimator,
} from '@mustardferry/decisions';
import type {Metrics} from '@mustardferry/runtime';

import type {UpstreamPool} from '../upstreams/upstream_pool.js';
import {LateAttempts} from './late_attempts.js';
import type {RunningAttempt, TaskEntry} from './task_entry.js';

/** Options of {@link Hedger}. */
export interface HedgerOptions {
  readonly hedging: HedgingPolicy;
  readonly routing: RoutingPolicy;
  readonly estimator: RunTimeEstimator;
  readonly pool: UpstreamPool;
  readonly metrics: Metrics;
  /** Starts a further attempt on the given upstream. */
  readonly start: (
    entry: TaskEntry,
    upstream: string,
    expectedRunMs: number,
  ) => void;
}

/** Checks of one attempt after the first. The expected gain may grow with time. */
const MAX_RECHECKS = 4;
/** Delay of the next check in relation to the elapsed run time. */
const RECHECK_RATIO = 0.5;
const MIN_CHECK_DELAY_MS = 5;
const MAX_CHECK_DELAY_MS = 60_000;

/** Checks running attempts of repeatable kinds for a worthwhile hedge. */
export class Hedger {
  private readonly late: LateAttempts;

  constructor(private readonly options: HedgerOptions) {
    this.late = new LateAttempts(options.estimator);
  }

  /** Schedules the first check of an attempt that was just sent. */
  watchAttempt(entry: TaskEntry, attempt: RunningAttempt): void {
    const {job} = entry.task;
    this.late.add(entry, attempt);
    if (!job.kind.repeatable || entry.running.size > 1) return;
    const firstMs = this.options.hedging.computeFirstCheckMs(
      this.describeAttempt(entry, attempt),
    );
    if (Number.isFinite(firstMs))
      this.scheduleCheck(entry, attempt, firstMs, 0);
  }

  private scheduleCheck(
    entry: TaskEntry,
    attempt: RunningAttempt,
    delayMs: number,
    checks: number,
  ): void {
    const bounded = Math.min(
      MAX_CHECK_DELAY_MS,
      Math.max(MIN_CHECK_DELAY_MS, delayMs),
    );
    setTimeout(
      () => this.checkAttempt(entry, attempt, checks),
      bounded,
    ).unref();
  }

  private checkAttempt(
    entry: TaskEntry,
    attempt: RunningAttempt,
    checks: number,
  ): void {
    const {job, owner} = entry.task;
    const isRunning = entry.running.get(attempt.attempt) === attempt;
    if (!isRunning || entry.phase === 'ended' || job.settled) return;
    if (!owner.active || entry.running.size > 1) return;
    const now = Date.now();
    const elapsedMs = now - attempt.startedAtMs;
    const routed = this.findAlternative(entry, attempt, now);
    const decision = this.options.hedging.decideHedge({
      ...this.describeAttempt(entry, attempt),
      elapsedMs,
      lateFraction: this.late.fraction(attempt, now),
      ...(routed === undefined ? {} : {alternative: routed.upstream}),
    });
    if (!decision.hedge || routed === undefined) {
      if (checks >= MAX_RECHECKS) return;
      this.scheduleCheck(entry, attempt, RECHECK_RATIO * elapsedMs, checks + 1);
      return;
    }
    job.explain({
      atMs: now,
      taskId: entry.queued.taskId,
      step: 'hedged',
      reason: decision.reason,
      detail: `${routed.upstream}, expected gain ${Math.round(decision.gainMs)} ms`,
      ...(decision.answer === undefined ? {} : {answer: decision.answer}),
    });
    this.options.metrics.increment('tasks.hedged', 1, {
      team: entry.queued.team,
    });
    this.options.start(entry, routed.upstream, routed.expectedRunMs);
  }

  private findAlternative(
    entry: TaskEntry,
    attempt: RunningAttempt,
    now: number,
  ) {
    const {queued, excludedUpstreams} = entry;
    const routed = this.options.routing.chooseUpstream(
      {
        ...queued,
        excluded: new Set([...excludedUpstreams, attempt.upstream]),
      },
      this.options.pool.candidates,
      now,
    );
    return routed.type === 'start' ? routed : undefined;
  }

  private describeAttempt(entry: TaskEntry, attempt: RunningAttempt) {
    const {queued, task} = entry;
    return {
      team: queued.team,
      kind: queued.kind,
      repeatable: task.job.kind.repeatable,
      declaredMs: queued.expectedRunMs,
      upstream: attempt.upstream,
      copies: entry.running.size,
      wastedMessageCostMs: task.job.team.wastedMessageCostMs,
    };
  }
}
