/** Baseline: starts tasks in order of arrival, without shares or quotas. */
import type {Policy, Resources} from '@mustardferry/model';
import {
  addResources,
  NO_RESOURCES,
  subtractResources,
} from '@mustardferry/model';

import {type Charge, computeActualCost} from './charges.js';
import {computeDominantShare} from './dominant_share.js';
import {JobIndex} from './job_index.js';
import type {QueueEntry} from './kind_queue.js';
import {
  type Backlog,
  type Entitlement,
  type QueuedTask,
  type SharingDecision,
  SharingPolicy,
  type TaskFilter,
  type TeamUsage,
} from './sharing_policy.js';

/** Most queued tasks that one call of `next` passes to the filter. */
const MAX_LOOKAHEAD = 64;

/**
 * A single queue for all teams. Reports by team scan the whole queue, which is
 * fast enough for experiments only.
 */
export class FirstInFirstOutSharing extends SharingPolicy {
  private readonly entries = new Map<string, QueueEntry>();
  private readonly jobs = new JobIndex();
  private readonly charges = new Map<string, Charge>();
  private readonly consumedMs = new Map<string, number>();
  private readonly running = new Map<string, Resources>();
  private capacity: Resources = NO_RESOURCES;
  private workMs = 0;

  get queuedTasks(): number {
    return this.entries.size;
  }

  override setPolicy(_policy: Policy): void {}

  override setCapacity(capacity: Resources): void {
    this.capacity = capacity;
  }

  override setEntitlements(_entitlements: readonly Entitlement[]): void {}

  override enqueue(task: QueuedTask): void {
    const entry: QueueEntry = {task, order: 0, heapIndex: -1};
    this.entries.set(task.taskId, entry);
    this.jobs.add(entry);
    this.workMs += task.expectedRunMs;
  }

  override next(
    _now: number,
    filter?: TaskFilter,
  ): SharingDecision | undefined {
    let checkedTasks = 0;
    for (const entry of this.entries.values()) {
      if (!filter || filter(entry.task)) {
        this.jobs.remove(entry);
        this.removeEntry(entry);
        return {task: entry.task, reason: 'arrival-order'};
      }
      if (++checkedTasks === MAX_LOOKAHEAD) break;
    }
    return undefined;
  }

  override cancel(jobId: string): readonly QueuedTask[] {
    const entries = this.jobs.removeJob(jobId);
    for (const entry of entries) this.removeEntry(entry);
    return entries.map(entry => entry.task);
  }

  override charge(task: QueuedTask, now: number): void {
    if (this.charges.has(task.taskId)) return;
    const {team, resources} = task;
    const share = computeDominantShare(resources, this.capacity);
    this.charges.set(task.taskId, {
      team,
      resources,
      dominantShare: share,
      expectedCost: 0,
      startedAtMs: now,
    });
    const running = this.running.get(team) ?? NO_RESOURCES;
    this.running.set(team, addResources(running, resources));
  }

  override release(taskId: string, now: number): void {
    const charge = this.charges.get(taskId);
    if (!charge) return;
    this.charges.delete(taskId);
    const {team, resources} = charge;
    const running = this.running.get(team) ?? NO_RESOURCES;
    this.running.set(team, subtractResources(running, resources));
    const consumed = this.consumedMs.get(team) ?? 0;
    this.consumedMs.set(team, consumed + computeActualCost(charge, now));
  }

  override listBacklogs(): readonly Backlog[] {
    const groups = new Map<string, Backlog>();
    for (const {task} of this.entries.values()) {
      const {team, kind} = task;
      const id = JSON.stringify([team, kind]);
      const sum = groups.get(id) ?? {team, kind, tasks: 0, workMs: 0};
      const workMs = sum.workMs + task.expectedRunMs;
      groups.set(id, {team, kind, tasks: sum.tasks + 1, workMs});
    }
    return [...groups.values()];
  }

  override getBacklog(team: string, kind: string): Backlog {
    const found = this.listBacklogs().find(
      entry => entry.team === team && entry.kind === kind,
    );
    return found ?? {team, kind, tasks: 0, workMs: 0};
  }

  override usage(): readonly TeamUsage[] {
    const backlog = this.listBacklogs();
    const names = new Set([
      ...this.running.keys(),
      ...backlog.map(b => b.team),
    ]);
    return [...names].map(team => this.computeUsage(team));
  }

  override estimateWaitMs(): number {
    return this.capacity.slots > 0
      ? this.workMs / this.capacity.slots
      : Infinity;
  }

  private computeUsage(team: string): TeamUsage {
    let queued = NO_RESOURCES;
    let queuedTasks = 0;
    for (const {task} of this.entries.values()) {
      if (task.team !== team) continue;
      queued = addResources(queued, task.resources);
      queuedTasks++;
    }
    const running = this.running.get(team) ?? NO_RESOURCES;
    const dominantShareMs = this.consumedMs.get(team) ?? 0;
    return {team, running, queuedTasks, queued, dominantShareMs};
  }

  private removeEntry(entry: QueueEntry): void {
    this.entries.delete(entry.task.taskId);
    this.workMs -= entry.task.expectedRunMs;
  }
}
