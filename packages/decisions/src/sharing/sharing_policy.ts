/** Common interface of the policies that pick the next task to start. */
import type {Policy, Resources, Urgency} from '@mustardferry/model';

import type {ReasonCode} from '../explain/reasons.js';

/** A task that waits for an upstream. */
export interface QueuedTask {
  /** `<jobId>/<task index>`; unique among queued and charged tasks. */
  readonly taskId: string;
  readonly jobId: string;
  readonly team: string;
  readonly kind: string;
  readonly urgency: Urgency;
  readonly resources: Resources;
  /** Estimated run time in milliseconds, the basis of the charge. */
  readonly expectedRunMs: number;
  /** Epoch milliseconds at which the answer is due. */
  readonly targetAtMs: number;
  readonly enqueuedAtMs: number;
}

/** Slots of a team on one instance, from the allocator. */
export interface Entitlement {
  readonly team: string;
  readonly slots: number;
}

/** The task to start next. */
export interface SharingDecision {
  readonly task: QueuedTask;
  readonly reason: ReasonCode;
  readonly answer?: string;
}

/** Waiting tasks of one kind of a team. */
export interface Backlog {
  readonly team: string;
  readonly kind: string;
  readonly tasks: number;
  /** Sum of the expected run times in milliseconds. */
  readonly workMs: number;
}

/** Usage of one team on this instance. */
export interface TeamUsage {
  readonly team: string;
  readonly running: Resources;
  readonly queuedTasks: number;
  /** Resources that the waiting tasks ask for together. */
  readonly queued: Resources;
  /** Dominant share times milliseconds consumed since the start. */
  readonly dominantShareMs: number;
}

/** Says whether a task could be routed now; asked for the head of each kind. */
export type TaskFilter = (task: QueuedTask) => boolean;

/**
 * A queue of tasks shared by teams. A task that `next` returned is in no queue:
 * the caller charges it before it calls `next` again, or enqueues it again.
 */
export abstract class SharingPolicy {
  /** Replaces weights and quotas; queued tasks stay queued. */
  abstract setPolicy(policy: Policy): void;
  /** Sets the resources that this instance can use, the base of all shares. */
  abstract setCapacity(capacity: Resources): void;
  /**
   * Sets the slots that the allocator assigned to each team on this instance.
   * They replace the weights of the policy, because the demand of a team is
   * spread unevenly over the instances. Teams not listed keep their weight.
   */
  abstract setEntitlements(entitlements: readonly Entitlement[]): void;
  abstract enqueue(task: QueuedTask, now: number): void;
  /** Removes and returns the next task, or undefined when none may start. */
  abstract next(now: number, filter?: TaskFilter): SharingDecision | undefined;
  /** Removes the queued tasks of a job and returns them; O(1) for each. */
  abstract cancel(jobId: string, now: number): readonly QueuedTask[];
  /** Counts a started task against its team. */
  abstract charge(task: QueuedTask, now: number): void;
  /** Ends a charge and corrects it to the measured time. Unknown ids are ignored. */
  abstract release(taskId: string, now: number): void;
  abstract listBacklogs(): readonly Backlog[];
  abstract getBacklog(team: string, kind: string): Backlog;
  abstract usage(): readonly TeamUsage[];
  /** Expected wait in milliseconds of a task enqueued now; may be Infinity. */
  abstract estimateWaitMs(team: string, urgency: Urgency, now: number): number;
  abstract get queuedTasks(): number;
}
