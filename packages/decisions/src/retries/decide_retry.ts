/** Decides whether a failed attempt of a task is repeated. */
import {assertNever} from '@mustardferry/model';
import type {RandomGenerator} from 'pure-rand';

import {answerRef, type ReasonCode} from '../explain/reasons.js';
import {type BackOffOptions, computeBackOffMs} from './back_off.js';
import type {RetryBudget} from './retry_budget.js';

/**
 * How an attempt ended. `refused`: the upstream refused the start or is sealed
 * against it. `error`: the task ran and failed. `stopped`: it was stopped, for
 * example after its lease ended. `lost`: no answer and no knowledge.
 */
export type AttemptFailure = 'refused' | 'error' | 'stopped' | 'lost';

/** A failed attempt. */
export interface FailedAttempt {
  readonly team: string;
  readonly kind: string;
  readonly repeatable: boolean;
  readonly failure: AttemptFailure;
  /** Attempts so far, this one included. */
  readonly attempts: number;
  readonly maxAttempts: number;
  /** Different upstreams on which the task itself failed. */
  readonly failedUpstreams: number;
  /** Epoch milliseconds after which the job is dropped; Infinity for never. */
  readonly deadlineAtMs: number;
  readonly expectedRunMs: number;
}

/** Whether to repeat, and otherwise how the task ends. */
export type RetryDecision =
  | {
      readonly retry: true;
      readonly delayMs: number;
      readonly reason: ReasonCode;
      readonly answer?: string;
    }
  | {
      readonly retry: false;
      readonly outcome: 'failed' | 'unknown';
      readonly reason: ReasonCode;
      readonly answer?: string;
    };

/** Different upstreams after whose failures the task is considered faulty. */
export const FAULTY_TASK_UPSTREAMS = 3;

function mayHaveStarted(failure: AttemptFailure): boolean {
  switch (failure) {
    case 'refused':
      return false;
    case 'error':
    case 'stopped':
    case 'lost':
      return true;
    default:
      return assertNever(failure);
  }
}

function obstacle(
  attempt: FailedAttempt,
  delayMs: number,
  now: number,
): ReasonCode | undefined {
  if (!attempt.repeatable && mayHaveStarted(attempt.failure)) {
    return 'never-repeated';
  }
  if (attempt.failedUpstreams >= FAULTY_TASK_UPSTREAMS) return 'faulty-task';
  if (attempt.attempts >= attempt.maxAttempts) return 'attempts-exhausted';
  const endMs = now + delayMs + attempt.expectedRunMs;
  return endMs > attempt.deadlineAtMs ? 'deadline-passed' : undefined;
}

/**
 * Takes a token from the budget when it decides to repeat. A refused start is
 * repeated without a token: the task was not run, and the refusal is bounded
 * by `maxAttempts`.
 */
export function decideRetry(
  attempt: FailedAttempt,
  budget: RetryBudget,
  rng: RandomGenerator,
  now: number,
  options: BackOffOptions = {},
): RetryDecision {
  const {team, kind, failure} = attempt;
  const delayMs = computeBackOffMs(attempt.attempts, rng, options);
  const outcome =
    failure === 'lost' && !attempt.repeatable ? 'unknown' : 'failed';
  const reason = obstacle(attempt, delayMs, now);
  if (reason === 'never-repeated') {
    const answer = answerRef(team, `kind:${kind}`, 'repeatable');
    return {retry: false, outcome, reason, answer};
  }
  if (reason) return {retry: false, outcome, reason};
  if (!mayHaveStarted(failure)) {
    return {retry: true, delayMs, reason: 'retry-allowed'};
  }
  const answer = answerRef(team, 'team', 'retry_budget_percent');
  const taken = budget.take(team);
  return taken === 'allowed'
    ? {retry: true, delayMs, reason: 'retry-allowed', answer}
    : {retry: false, outcome, reason: taken, answer};
}
