/** Recognizes tasks that no upstream can ever run. */
import {fitsInto, type Resources} from '@mustardferry/model';

import {answerRef, type ReasonCode} from '../explain/reasons.js';

/** A task and what the data centre offers. */
export interface RunnabilityInput {
  readonly team: string;
  readonly kind: string;
  readonly resources: Resources;
  readonly quota: Resources;
  /** Distinct capacities of the upstreams that offer the kind. */
  readonly capacities: readonly Resources[];
  /** When the job was admitted, or when it arrived. */
  readonly sinceMs: number;
  /** How long a suitable upstream may take to announce itself. */
  readonly unknownUpstreamWaitMs: number;
}

/** Whether a task can run. */
export type Runnability =
  | {readonly type: 'runnable'; readonly reason: ReasonCode}
  | {
      readonly type: 'wait';
      readonly untilMs: number;
      readonly reason: ReasonCode;
    }
  | {
      readonly type: 'never';
      readonly reason: ReasonCode;
      readonly detail: string;
      readonly answer?: string;
    };

function describe(resources: Resources): string {
  const {slots, processors, memoryMb, accelerators} = resources;
  return `${slots} slots, ${processors} processors, ${memoryMb} MiB, ${accelerators} accelerators`;
}

/**
 * Judges a task. A quota decides at once; a missing upstream decides only
 * after `unknownUpstreamWaitMs`, because no list of upstreams exists.
 */
export function checkRunnability(
  question: RunnabilityInput,
  now: number,
): Runnability {
  const {team, resources, quota, capacities} = question;
  if (!fitsInto(resources, quota)) {
    return {
      type: 'never',
      reason: 'quota-zero',
      detail: `needs ${describe(resources)}, quota is ${describe(quota)}`,
      answer: answerRef(team, 'team', 'quota'),
    };
  }
  if (capacities.some(capacity => fitsInto(resources, capacity))) {
    return {type: 'runnable', reason: 'capacity-available'};
  }
  const untilMs = question.sinceMs + question.unknownUpstreamWaitMs;
  if (now < untilMs) {
    return {type: 'wait', untilMs, reason: 'upstream-may-announce'};
  }
  if (capacities.length === 0) {
    const detail = `kind ${question.kind} was not announced`;
    return {type: 'never', reason: 'kind-not-offered', detail};
  }
  const detail = `needs ${describe(resources)}`;
  return {type: 'never', reason: 'no-upstream-large-enough', detail};
}
