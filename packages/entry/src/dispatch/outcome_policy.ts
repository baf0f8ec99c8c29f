/** What follows from the outcome of an attempt. */
import type {RunTimeEstimator} from '@mustardferry/decisions';
import type {Metrics} from '@mustardferry/runtime';

import type {JobFailure} from '../jobs/running_job.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {RunningAttempt, TaskEntry} from './task_entry.js';

/** Next step of a task whose attempt did not produce a result. */
export type NextStep =
  | {readonly type: 'fail'; readonly failure: JobFailure}
  | {
      readonly type: 'retry';
      readonly delayMs: number;
      /** Record first that the attempt never started. */
      readonly seal: boolean;
    };

/** Options of the policy. */
export interface OutcomePolicyOptions {
  readonly estimator: RunTimeEstimator;
  readonly metrics: Metrics;
}

const MAX_SENT = 5;
const REFUSED_DELAY_MS = 20;

/** Learns from outcomes and decides about retries. */
export class OutcomePolicy {
  constructor(private readonly options: OutcomePolicyOptions) {}

  /** Feeds estimates and metrics with an outcome. */
  observe(
    entry: TaskEntry,
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
  ): void {
    const now = Date.now();
    if (outcome.type === 'done') {
      this.options.estimator.observe(
        {
          team: entry.queued.team,
          kind: entry.queued.kind,
          upstream: attempt.upstream,
          runMs: outcome.runMs,
          endedAtMs: now,
        },
        now,
      );
      return;
    }
    this.options.metrics.increment('attempts.without_result', 1, {
      cause: outcome.type,
    });
  }

  /** Decides how a task without a result goes on. */
  afterFailure(
    entry: TaskEntry,
    attempt: RunningAttempt,
    outcome: Exclude<AttemptOutcome, {type: 'done'}>,
  ): NextStep {
    const {repeatable} = entry.task.job.kind;
    const notStarted =
      outcome.type === 'not-started' || outcome.type === 'refused';
    if (!repeatable && !notStarted)
      return {type: 'fail', failure: failureOf(outcome)};
    if (entry.sent >= MAX_SENT)
      return {type: 'fail', failure: failureOf(outcome)};
    entry.excluded.add(attempt.upstream);
    return {
      type: 'retry',
      delayMs: outcome.type === 'refused' ? REFUSED_DELAY_MS : 0,
      seal: !repeatable,
    };
  }
}

function failureOf(
  outcome: Exclude<AttemptOutcome, {type: 'done'}>,
): JobFailure {
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
  }
}
