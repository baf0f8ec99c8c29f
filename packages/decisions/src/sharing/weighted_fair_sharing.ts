/**
 * Weighted fair queueing over dominant shares, after Start-time Fair Queueing
 * (Goyal, Vin and Cheng, 1996) and Dominant Resource Fairness (Ghodsi et al.,
 * 2011). The team with the lowest tag goes next; its tag is the service that
 * it got, plus the expected service of its running tasks, over its weight.
 */
import type {Policy, Resources, Urgency} from '@mustardferry/model';
import {
  addResources,
  NO_RESOURCES,
  subtractResources,
} from '@mustardferry/model';

import {IndexedHeap} from '../common/heap.js';
import {formatAnswerReference} from '../explain/reasons.js';
import {actualCost, type Charge} from './charges.js';
import {dominantShare} from './dominant_share.js';
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
import {type Selection, TeamQueue} from './team_queue.js';

/**
 * Half-life of the credit or debt of a team that has nothing to start. A team
 * that was idle for 10 s keeps less than 0.1% of what it had left.
 */
export const LAG_HALF_LIFE_MS = 1_000;

/** Most credit of a team, in milliseconds of service at its full share. */
export const MAX_LAG_MS = 500;

const MIN_WEIGHT = 1e-4;

/** Fair sharing between teams; costs O(log teams) for each operation. */
export class WeightedFairSharing extends SharingPolicy {
  private readonly teams = new Map<string, TeamQueue>();
  /** Teams that have a task to start and quota left for it. */
  private readonly competing = new IndexedHeap<TeamQueue>(
    (a, b) => a.tag < b.tag || (a.tag === b.tag && a.team < b.team),
  );
  private readonly charges = new Map<string, Charge>();
  private readonly jobs = new JobIndex();
  private readonly entitlements = new Map<string, number>();
  private capacity: Resources = NO_RESOURCES;
  /** Average settled service of the competing teams; never decreases. */
  private virtualMs = 0;
  /** Tag of the team served last. */
  private level = 0;
  /** Weight of the teams that compete or have running tasks. */
  private activeWeight = 0;
  private outstanding = 0;
  private runningSlots = 0;
  private order = 0;
  private queued = 0;

  get queuedTasks(): number {
    return this.queued;
  }

  override setPolicy(policy: Policy): void {
    for (const {team, sharePercent, quota} of policy.teams) {
      const entry = this.team(team);
      entry.policyWeight = Math.max(MIN_WEIGHT, sharePercent / 100);
      entry.setQuota(quota);
      this.setWeight(entry, this.weightOf(entry));
      if (entry.size > 0) this.join(entry, entry.pausedAtMs);
    }
  }

  override setEntitlements(entitlements: readonly Entitlement[]): void {
    this.entitlements.clear();
    for (const {team, slots} of entitlements) {
      this.entitlements.set(team, slots);
    }
    for (const team of this.teams.values()) {
      this.setWeight(team, this.weightOf(team));
    }
  }

  override setCapacity(capacity: Resources): void {
    this.capacity = capacity;
  }

  override enqueue(task: QueuedTask, now: number): void {
    const team = this.team(task.team);
    const entry: QueueEntry = {task, order: this.order++, heapIndex: -1};
    team.add(entry);
    this.jobs.add(entry);
    this.queued++;
    this.join(team, now);
  }

  override next(now: number, filter?: TaskFilter): SharingDecision | undefined {
    const skipped: TeamQueue[] = [];
    let decision: SharingDecision | undefined;
    for (;;) {
      const team = this.competing.peek();
      if (!team) break;
      const selection = team.select(filter);
      if (typeof selection === 'object') {
        decision = this.take(team, selection, now);
        break;
      }
      if (selection === 'filter') {
        this.competing.remove(team);
        skipped.push(team);
      } else this.pause(team, now);
    }
    for (const team of skipped) this.competing.push(team);
    return decision;
  }

  override cancel(jobId: string, now: number): readonly QueuedTask[] {
    const entries = this.jobs.take(jobId);
    for (const entry of entries) {
      const team = this.team(entry.task.team);
      this.drop(team, entry);
      // A cancelled head may have hidden a smaller task that fits the quota.
      if (team.size === 0) this.pause(team, now);
      else this.join(team, now);
    }
    return entries.map(entry => entry.task);
  }

  override charge(task: QueuedTask, now: number): void {
    if (this.charges.has(task.taskId)) return;
    const team = this.team(task.team);
    const share = dominantShare(task.resources, this.capacity);
    const expectedCost = share * Math.max(1, task.expectedRunMs);
    this.charges.set(task.taskId, {
      team: task.team,
      resources: task.resources,
      dominantShare: share,
      expectedCost,
      startedAtMs: now,
    });
    team.running = addResources(team.running, task.resources);
    team.runningTasks++;
    this.runningSlots += task.resources.slots;
    this.changeOutstanding(team, expectedCost);
    this.updateActive(team);
    this.competing.reorder(team);
  }

  override release(taskId: string, now: number): void {
    const charge = this.charges.get(taskId);
    if (!charge) return;
    this.charges.delete(taskId);
    const team = this.team(charge.team);
    const cost = actualCost(charge, now);
    team.running = subtractResources(team.running, charge.resources);
    if (--team.runningTasks === 0) team.running = NO_RESOURCES;
    this.runningSlots -= charge.resources.slots;
    team.consumed += cost;
    this.changeOutstanding(team, -charge.expectedCost);
    if (team.heapIndex >= 0) team.settled += cost / team.weight;
    else team.lag += (charge.expectedCost - cost) / team.weight;
    this.competing.reorder(team);
    if (team.size > 0) this.join(team, now);
    else this.updateActive(team);
  }

  override listBacklogs(): readonly Backlog[] {
    const result: Backlog[] = [];
    for (const team of this.teams.values()) {
      for (const {kind, size, workMs} of team.queues()) {
        result.push({team: team.team, kind, tasks: size, workMs});
      }
    }
    return result;
  }

  override getBacklog(team: string, kind: string): Backlog {
    let tasks = 0;
    let workMs = 0;
    for (const queue of this.teams.get(team)?.queues() ?? []) {
      if (queue.kind !== kind) continue;
      tasks += queue.size;
      workMs += queue.workMs;
    }
    return {team, kind, tasks, workMs};
  }

  override usage(): readonly TeamUsage[] {
    return [...this.teams.values()].map(team => ({
      team: team.team,
      running: team.running,
      queuedTasks: team.size,
      queued: team.queued,
      dominantShareMs: team.consumed,
    }));
  }

  override estimateWaitMs(name: string, urgency: Urgency): number {
    const team = this.team(name);
    const slots = this.capacity.slots;
    if (slots <= 0) return Infinity;
    if (this.queued === 0 && this.runningSlots < slots) return 0;
    const others = this.activeWeight - (team.active ? team.weight : 0);
    const fair = (slots * team.weight) / (team.weight + others);
    return team.workAheadMs(urgency) / Math.min(fair, team.quota.slots);
  }

  private team(name: string): TeamQueue {
    let team = this.teams.get(name);
    if (!team) {
      team = new TeamQueue(name);
      this.teams.set(name, team);
    }
    return team;
  }

  private weightOf(team: TeamQueue): number {
    const slots = this.entitlements.get(team.team);
    if (!slots || this.capacity.slots <= 0) return team.policyWeight;
    return Math.max(MIN_WEIGHT, slots / this.capacity.slots);
  }

  private setWeight(team: TeamQueue, weight: number): void {
    if (team.active) this.activeWeight += weight - team.weight;
    team.weight = weight;
    this.competing.reorder(team);
  }

  private take(
    team: TeamQueue,
    {entry, aged}: Selection,
    now: number,
  ): SharingDecision {
    this.advance(team);
    this.jobs.remove(entry);
    this.drop(team, entry);
    team.started(entry.task.urgency);
    if (team.size === 0) this.pause(team, now);
    return {
      task: entry.task,
      reason: aged ? 'aged-task' : 'fair-share',
      answer: formatAnswerReference(team.team, 'team', 'share_percent'),
    };
  }

  private drop(team: TeamQueue, entry: QueueEntry): void {
    team.remove(entry);
    this.queued--;
  }

  private changeOutstanding(team: TeamQueue, cost: number): void {
    team.outstanding = Math.max(0, team.outstanding + cost);
    this.outstanding = Math.max(0, this.outstanding + cost);
    if (this.charges.size === 0) this.outstanding = 0;
  }

  /** Moves virtual time to the average settled service below the first tag. */
  private advance(team: TeamQueue): void {
    const weight = Math.max(this.activeWeight, team.weight);
    const average = this.outstanding / weight;
    this.virtualMs = Math.max(this.virtualMs, team.tag - average);
    // Bounds the credit of a team that waited long for a rare upstream.
    const floor = this.virtualMs - MAX_LAG_MS;
    if (team.tag < floor) team.settled += floor - team.tag;
    this.level = team.tag;
    this.competing.reorder(team);
  }

  /**
   * Lets a team compete from virtual time on. Its running tasks count, so it
   * gets all free capacity until it holds as much as the average team.
   */
  private join(team: TeamQueue, now: number): void {
    if (team.heapIndex >= 0) return;
    const idleMs = Math.max(0, now - team.pausedAtMs);
    const lag = team.lag * 2 ** (-idleMs / LAG_HALF_LIFE_MS);
    team.settled = this.virtualMs - Math.min(MAX_LAG_MS, lag);
    this.competing.push(team);
    this.updateActive(team);
  }

  private pause(team: TeamQueue, now: number): void {
    if (team.heapIndex < 0) return;
    team.lag = Math.min(0, this.level - team.tag);
    team.pausedAtMs = now;
    this.competing.remove(team);
    this.updateActive(team);
  }

  private updateActive(team: TeamQueue): void {
    const active = team.heapIndex >= 0 || team.runningTasks > 0;
    if (active === team.active) return;
    team.active = active;
    this.activeWeight += active ? team.weight : -team.weight;
  }
}
