/** Detects tasks that no upstream can ever run. */
import {fitsInto, type Resources} from '@mustardferry/model';

import {formatAnswerReference, type ReasonCode} from '../explain/reasons.js';

/** A task, its team's quota and the upstreams that offer its kind. */
export interface RunnabilityInput {
  readonly team: string;
  readonly kind: string;
  readonly resources: Resources;
  readonly quota: Resources;
  /** Distinct capacities of the upstreams that offer the kind. */
  readonly capacities: readonly Resources[];
  /** Evacuated data centre whose upstreams would be able to run the task. */
  readonly evacuatedDataCentre?: string | undefined;
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

function formatResources(resources: Resources): string {
  const {slots, processors, memoryMb, accelerators} = resources;
  return `${slots} slots, ${processors} processors, ${memoryMb} MiB, ${accelerators} accelerators`;
}

/**
 * Checks whether a task can run. A small quota or an evacuation excludes it at
 * once, a missing upstream only after `unknownUpstreamWaitMs`: no list of all
 * upstreams exists.
 */
export function checkRunnability(
  input: RunnabilityInput,
  now: number,
): Runnability {
  const {team, resources, quota, capacities, evacuatedDataCentre} = input;
  if (!fitsInto(resources, quota)) {
    return {
      type: 'never',
      reason: 'quota-zero',
      detail: `needs ${formatResources(resources)}, quota is ${formatResources(quota)}`,
      answer: formatAnswerReference(team, 'team', 'quota'),
    };
  }
  if (capacities.some(capacity => fitsInto(resources, capacity))) {
    return {type: 'runnable', reason: 'capacity-available'};
  }
  if (evacuatedDataCentre !== undefined) {
    const detail = `data centre ${evacuatedDataCentre} is evacuated`;
    return {type: 'never', reason: 'data-centre-evacuated', detail};
  }
  const untilMs = input.sinceMs + input.unknownUpstreamWaitMs;
  if (now < untilMs) {
    return {type: 'wait', untilMs, reason: 'upstream-may-announce'};
  }
  if (capacities.length === 0) {
    const detail = `kind ${input.kind} was not announced`;
    return {type: 'never', reason: 'kind-not-offered', detail};
  }
  const detail = `needs ${formatResources(resources)}`;
  return {type: 'never', reason: 'no-upstream-large-enough', detail};
}
