/** Common interface of the policies that pick an upstream for a task. */
import {fitsInto, type Resources, type Urgency} from '@mustardferry/model';

import type {ReasonCode} from '../explain/reasons.js';
import type {Candidate, CandidateIndex} from './candidate_index.js';

/** A task to route, with what is known about its job. */
export interface RoutableTask {
  readonly taskId: string;
  readonly team: string;
  readonly kind: string;
  readonly urgency: Urgency;
  readonly resources: Resources;
  /** Declared run time in milliseconds. */
  readonly expectedRunMs: number;
  /** Expected end of the job's other tasks; absent when nothing is known. */
  readonly jobEndsAtMs?: number;
  /** Running tasks of the job by rack. */
  readonly jobRacks?: ReadonlyMap<string, number>;
  /** Upstreams that this task must not use, for example after a failure. */
  readonly excluded?: ReadonlySet<string>;
  /** Queued tasks, this one included. */
  readonly waitingTasks?: number;
}

/** Where a task goes. */
export type RoutingDecision =
  | {
      readonly type: 'start';
      /** Key of the upstream. */
      readonly upstream: string;
      readonly expectedRunMs: number;
      readonly reason: ReasonCode;
    }
  | {
      /** Keep the task queued and ask again when a credit frees. */
      readonly type: 'wait';
      readonly reason: ReasonCode;
    }
  | {readonly type: 'none'; readonly reason: ReasonCode};

/** Picks an upstream among those with free slot credits. */
export abstract class RoutingPolicy {
  abstract chooseUpstream(
    task: RoutableTask,
    candidates: CandidateIndex,
    now: number,
  ): RoutingDecision;
}

/** The decision when no upstream can take the task now. */
export const NO_UPSTREAM: RoutingDecision = {
  type: 'none',
  reason: 'no-free-upstream',
};

/** Whether a candidate with a free credit can take the task. */
export function isEligible(task: RoutableTask, candidate: Candidate): boolean {
  return (
    fitsInto(task.resources, candidate.free) &&
    !task.excluded?.has(candidate.upstream.key)
  );
}
