/** Decides what follows from the outcome of an attempt. */
import {
  type AttemptFailure,
  decideRetry,
  type RetryBudget,
  type RunTimeEstimator,
} from '@mustardferry/decisions';
import {assertNever} from '@mustardferry/model';
import type {Metrics} from '@mustardferry/runtime';
import type {RandomGenerator} from 'pure-rand';

import type {JobFailure} from '../jobs/running_job.js';
import type {UpstreamPool} from '../upstreams/upstream_pool.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {RunningAttempt, TaskEntry} from './task_entry.js';
import type {UpstreamMonitor} from './upstream_monitor.js';

/** An outcome other than a result. */
export type FailedOutcome = Exclude<AttemptOutcome, {type: 'done'}>;

/** Next step of a task whose attempt did not produce a result. */
export type NextStep =
  | {readonly type: 'fail'; readonly failure: JobFailure}
  | {
      readonly type: 'retry';
      readonly delayMs: number;
      /** Whether to record first that the attempt never started. */
      readonly seal: boolean;
    };

/** Options of {@link OutcomePolicy}. */
export interface OutcomePolicyOptions {
  readonly estimator: RunTimeEstimator;
  readonly pool: UpstreamPool;
  readonly budget: RetryBudget;
  readonly monitor: UpstreamMonitor;
  readonly rng: RandomGenerator;
  readonly metrics: Metrics;
}

/** Attempts per task, including the first one. */
const MAX_ATTEMPTS = 5;

/** Updates statistics with outcomes and decides about retries. */
export class OutcomePolicy {
  constructor(private readonly options: OutcomePolicyOptions) {}

  /** Updates run time estimates, upstream health and metrics with an outcome. */
  recordOutcome(
    entry: TaskEntry,
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
  ): void {
    const {estimator, pool, monitor, metrics} = this.options;
    const now = Date.now();
    const {upstream} = attempt;
    const {team, kind} = entry.queued;
    monitor.recordOutcome(entry, attempt, outcome, now);
    if (outcome.type === 'done') {
      const {runMs} = outcome;
      estimator.observe({team, kind, upstream, runMs, endedAtMs: now}, now);
      pool.candidates.setSpeed(
        upstream,
        estimator.speedFactor(upstream),
        estimator.getUpstreamSamples(upstream),
      );
      return;
    }
    metrics.increment('attempts.without_result', 1, {cause: outcome.type});
  }

  /** Decides whether a task without a result is retried or fails its job. */
  decideNextStep(
    entry: TaskEntry,
    attempt: RunningAttempt,
    outcome: FailedOutcome,
  ): NextStep {
    const {budget, rng, metrics} = this.options;
    const {job} = entry.task;
    const {team, kind, expectedRunMs} = entry.queued;
    entry.excludedUpstreams.add(attempt.upstream);
    if (outcome.type === 'task-error') entry.failedOn.add(attempt.upstream);
    const now = Date.now();
    const decision = decideRetry(
      {
        team,
        kind,
        repeatable: job.kind.repeatable,
        failure: classifyFailure(outcome),
        attempts: Math.max(1, entry.sentCount),
        maxAttempts: MAX_ATTEMPTS,
        failedUpstreams: entry.failedOn.size,
        deadlineAtMs: job.deadlineAtMs,
        expectedRunMs,
      },
      budget,
      rng,
      now,
    );
    job.explain({
      atMs: now,
      taskId: entry.queued.taskId,
      step: decision.retry ? 'retried' : 'refused',
      reason: decision.reason,
      detail: `${outcome.type} on ${attempt.upstream}`,
      ...(decision.answer === undefined ? {} : {answer: decision.answer}),
    });
    if (!decision.retry) return {type: 'fail', failure: buildFailure(outcome)};
    metrics.increment('tasks.retried', 1, {team, cause: outcome.type});
    const {delayMs} = decision;
    return {type: 'retry', delayMs, seal: !job.kind.repeatable};
  }
}

function classifyFailure(outcome: FailedOutcome): AttemptFailure {
  switch (outcome.type) {
    case 'refused':
    case 'not-started':
      return 'refused';
    case 'task-error':
      return 'error';
    case 'stopped':
      return 'stopped';
    case 'unresolved':
      return 'lost';
    default:
      return assertNever(outcome);
  }
}

function buildFailure(outcome: FailedOutcome): JobFailure {
  switch (outcome.type) {
    case 'task-error':
      return {code: 'task-failed', detail: outcome.message};
    case 'stopped':
      return {code: 'task-failed', detail: 'The task was stopped.'};
    case 'refused':
      return {code: 'task-failed', detail: `Refused: ${outcome.refusal}.`};
    case 'not-started':
      return {code: 'task-failed', detail: `Not started: ${outcome.reason}.`};
    case 'unresolved':
      return {
        code: 'task-outcome-unknown',
        detail: `A task may have run: ${outcome.reason}.`,
        unknown: true,
      };
    default:
      return assertNever(outcome);
  }
}
