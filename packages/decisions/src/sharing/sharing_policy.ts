/** Interface of the policies that choose the next task to start. */
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
  /** Time at which the result is due, in epoch milliseconds. */
  readonly targetAtMs: number;
  readonly enqueuedAtMs: number;
}

/** Slots that the allocator assigned to a team on one instance. */
export interface Entitlement {
  readonly team: string;
  readonly slots: number;
}

/** The task to start next. */
export interface SharingDecision {
  readonly task: QueuedTask;
  readonly reason: ReasonCode;
  /** Reference to the team's answer that decided. */
  readonly answer?: string;
}

/** Queued tasks of one kind of a team. */
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
  /** Sum of the resources that the queued tasks need. */
  readonly queued: Resources;
  /** Cost of the tasks ended so far, in dominant-share milliseconds. */
  readonly dominantShareMs: number;
}

/** Whether a task can be routed now; called for the head of each kind. */
export type TaskFilter = (task: QueuedTask) => boolean;

/**
 * A queue of tasks shared by teams. A task that `next` returned is in no queue:
 * the caller charges it before it calls `next` again, or enqueues it again.
 */
export abstract class SharingPolicy {
  /** Replaces weights and quotas; queued tasks stay queued. */
  abstract setPolicy(policy: Policy): void;
  /** Sets the resources that dominant shares are computed from. */
  abstract setCapacity(capacity: Resources): void;
  /**
   * Sets the slots that the allocator assigned to each team on this instance.
   * They replace the weights of the policy, because the demand of a team is
   * spread unevenly over the instances. Other teams use the policy's weight.
   */
  abstract setEntitlements(entitlements: readonly Entitlement[]): void;
  abstract enqueue(task: QueuedTask, now: number): void;
  /** Removes and returns the next task, or undefined when none may start. */
  abstract next(now: number, filter?: TaskFilter): SharingDecision | undefined;
  /** Removes the queued tasks of a job and returns them; O(1) for each. */
  abstract cancel(jobId: string, now: number): readonly QueuedTask[];
  /** Charges the expected cost of a started task to its team. */
  abstract charge(task: QueuedTask, now: number): void;
  /** Replaces a charge by the actual cost. Ignores unknown ids. */
  abstract release(taskId: string, now: number): void;
  abstract listBacklogs(): readonly Backlog[];
  abstract getBacklog(team: string, kind: string): Backlog;
  abstract usage(): readonly TeamUsage[];
  /** Expected wait in milliseconds of a task enqueued now; may be Infinity. */
  abstract estimateWaitMs(team: string, urgency: Urgency, now: number): number;
  abstract get queuedTasks(): number;
}
