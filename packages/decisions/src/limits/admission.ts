/** Admits or refuses a job by its expected wait and the queue bounds. */
import type {KindPolicy} from '@mustardferry/model';

import {formatAnswerReference, type ReasonCode} from '../explain/reasons.js';

/** State at the arrival of a job that its admission depends on. */
export interface AdmissionInput {
  readonly team: string;
  readonly kind: KindPolicy;
  /** Tasks of the job. */
  readonly tasks: number;
  /** Tasks of this team and kind that wait on this instance. */
  readonly queuedOfKind: number;
  /** All tasks that wait on this instance, and their bound. */
  readonly queuedTasks: number;
  readonly maxQueuedTasks: number;
  /** Expected wait in milliseconds; Infinity when there is no capacity yet. */
  readonly expectedWaitMs: number;
}

/** No task of a refused job has started or will start. */
export type AdmissionDecision =
  | {readonly admitted: true; readonly reason: ReasonCode}
  | {
      readonly admitted: false;
      readonly outcome: 'not-run';
      readonly reason: ReasonCode;
      readonly retryAfterSeconds: number;
      readonly answer?: string;
    };

/** Longest suggested delay; the load changes faster than this. */
const MAX_RETRY_AFTER_SECONDS = 60;

function retryAfterSeconds(waitMs: number): number {
  const seconds = Number.isFinite(waitMs) ? Math.ceil(waitMs / 1_000) : 1;
  return Math.max(1, Math.min(MAX_RETRY_AFTER_SECONDS, seconds));
}

/** Decides whether a job enters the queue. A target of 0 sets no limit. */
export function decideAdmission(input: AdmissionInput): AdmissionDecision {
  const {team, kind, tasks, expectedWaitMs} = input;
  const section = `kind:${kind.kind}`;
  const refuse = (
    reason: ReasonCode,
    waitMs: number,
    key?: string,
  ): AdmissionDecision => ({
    admitted: false,
    outcome: 'not-run',
    reason,
    retryAfterSeconds: retryAfterSeconds(waitMs),
    ...(key === undefined
      ? {}
      : {answer: formatAnswerReference(team, section, key)}),
  });
  if (input.queuedOfKind + tasks > kind.queueLimit) {
    return refuse('queue-full', expectedWaitMs, 'queue_limit');
  }
  if (input.queuedTasks + tasks > input.maxQueuedTasks) {
    return refuse('queue-full', expectedWaitMs);
  }
  // Without capacity, the job may wait for an upstream to announce itself.
  if (!Number.isFinite(expectedWaitMs)) {
    return {admitted: true, reason: 'upstream-may-announce'};
  }
  if (kind.targetMs > 0 && expectedWaitMs > kind.targetMs) {
    const excessMs = expectedWaitMs - kind.targetMs;
    return refuse('wait-exceeds-target', excessMs, 'target_ms');
  }
  return {admitted: true, reason: 'admitted'};
}
