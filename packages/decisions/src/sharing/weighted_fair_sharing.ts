/**
 * Weighted fair queueing over dominant shares, after Start-time Fair Queueing
 * (Goyal, Vin and Cheng, 1996) and Dominant Resource Fairness (Ghodsi et al.,
 * 2011). The team with the lowest tag goes next. A tag is the cost of the ended
 * tasks plus the expected cost of the running ones, divided by the weight.
 */
import type {Policy, Resources, Urgency} from '@mustardferry/model';
import {
  addResources,
  NO_RESOURCES,
  subtractResources,
} from '@mustardferry/model';

import {IndexedHeap} from '../common/heap.js';
import {formatAnswerReference} from '../explain/reasons.js';
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
import {type Selection, TeamQueue} from './team_queue.js';

/**
 * Half-life of the lag of a team that has nothing to start. After 10 s without
 * tasks, less than 0.1% of the lag is left.
 */
export const LAG_HALF_LIFE_MS = 1_000;

/** Largest positive lag, in milliseconds of service at its full share. */
export const MAX_LAG_MS = 500;

const MIN_WEIGHT = 1e-4;

/** Fair sharing between teams; each queue operation takes O(log teams). */
export class WeightedFairSharing extends SharingPolicy {
  private readonly teams = new Map<string, TeamQueue>();
  /** Teams that have a task to start and quota left for it. */
  private readonly competingTeams = new IndexedHeap<TeamQueue>(
    (a, b) => a.tag < b.tag || (a.tag === b.tag && a.team < b.team),
  );
  private readonly charges = new Map<string, Charge>();
  private readonly jobs = new JobIndex();
  private readonly entitlements = new Map<string, number>();
  private capacity: Resources = NO_RESOURCES;
  /** Average virtual time of the competing teams; never decreases. */
  private virtualTimeMs = 0;
  /** Tag of the team served last. */
  private level = 0;
  /** Sum of the weights of all active teams. */
  private activeWeight = 0;
  private outstandingMs = 0;
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
      this.setWeight(entry, this.computeWeight(entry));
      if (entry.size > 0) this.join(entry, entry.pausedAtMs);
    }
  }

  override setEntitlements(entitlements: readonly Entitlement[]): void {
    this.entitlements.clear();
    for (const {team, slots} of entitlements) {
      this.entitlements.set(team, slots);
    }
    for (const team of this.teams.values()) {
      this.setWeight(team, this.computeWeight(team));
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
      const team = this.competingTeams.peek();
      if (!team) break;
      const selection = team.select(filter);
      if (typeof selection === 'object') {
        decision = this.dequeueSelected(team, selection, now);
        break;
      }
      if (selection === 'filter') {
        this.competingTeams.remove(team);
        skipped.push(team);
      } else this.pauseTeam(team, now);
    }
    for (const team of skipped) this.competingTeams.push(team);
    return decision;
  }

  override cancel(jobId: string, now: number): readonly QueuedTask[] {
    const entries = this.jobs.removeJob(jobId);
    for (const entry of entries) {
      const team = this.team(entry.task.team);
      this.removeEntry(team, entry);
      // Behind a cancelled head there may be a task that fits the quota.
      if (team.size === 0) this.pauseTeam(team, now);
      else this.join(team, now);
    }
    return entries.map(entry => entry.task);
  }

  override charge(task: QueuedTask, now: number): void {
    if (this.charges.has(task.taskId)) return;
    const team = this.team(task.team);
    const share = computeDominantShare(task.resources, this.capacity);
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
    this.addOutstanding(team, expectedCost);
    this.updateActiveWeight(team);
    this.competingTeams.reorder(team);
  }

  override release(taskId: string, now: number): void {
    const charge = this.charges.get(taskId);
    if (!charge) return;
    this.charges.delete(taskId);
    const team = this.team(charge.team);
    const cost = computeActualCost(charge, now);
    team.running = subtractResources(team.running, charge.resources);
    if (--team.runningTasks === 0) team.running = NO_RESOURCES;
    this.runningSlots -= charge.resources.slots;
    team.consumedMs += cost;
    this.addOutstanding(team, -charge.expectedCost);
    if (team.heapIndex >= 0) team.settledMs += cost / team.weight;
    else team.pausedLagMs += (charge.expectedCost - cost) / team.weight;
    this.competingTeams.reorder(team);
    if (team.size > 0) this.join(team, now);
    else this.updateActiveWeight(team);
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
      dominantShareMs: team.consumedMs,
    }));
  }

  override estimateWaitMs(name: string, urgency: Urgency): number {
    const team = this.team(name);
    const slots = this.capacity.slots;
    if (slots <= 0) return Infinity;
    if (this.queued === 0 && this.runningSlots < slots) return 0;
    const others = this.activeWeight - (team.active ? team.weight : 0);
    const fair = (slots * team.weight) / (team.weight + others);
    return team.sumWorkAheadMs(urgency) / Math.min(fair, team.quota.slots);
  }

  private team(name: string): TeamQueue {
    let team = this.teams.get(name);
    if (!team) {
      team = new TeamQueue(name);
      this.teams.set(name, team);
    }
    return team;
  }

  private computeWeight(team: TeamQueue): number {
    const slots = this.entitlements.get(team.team);
    if (!slots || this.capacity.slots <= 0) return team.policyWeight;
    return Math.max(MIN_WEIGHT, slots / this.capacity.slots);
  }

  private setWeight(team: TeamQueue, weight: number): void {
    if (team.active) this.activeWeight += weight - team.weight;
    team.weight = weight;
    this.competingTeams.reorder(team);
  }

  private dequeueSelected(
    team: TeamQueue,
    {entry, aged}: Selection,
    now: number,
  ): SharingDecision {
    this.advanceVirtualTime(team);
    this.jobs.remove(entry);
    this.removeEntry(team, entry);
    team.started(entry.task.urgency);
    if (team.size === 0) this.pauseTeam(team, now);
    return {
      task: entry.task,
      reason: aged ? 'aged-task' : 'fair-share',
      answer: formatAnswerReference(team.team, 'team', 'share_percent'),
    };
  }

  private removeEntry(team: TeamQueue, entry: QueueEntry): void {
    team.remove(entry);
    this.queued--;
  }

  private addOutstanding(team: TeamQueue, cost: number): void {
    team.outstandingMs = Math.max(0, team.outstandingMs + cost);
    this.outstandingMs = Math.max(0, this.outstandingMs + cost);
    if (this.charges.size === 0) this.outstandingMs = 0;
  }

  /** Advances virtual time to the tag served less the average running cost. */
  private advanceVirtualTime(team: TeamQueue): void {
    const weight = Math.max(this.activeWeight, team.weight);
    const average = this.outstandingMs / weight;
    this.virtualTimeMs = Math.max(this.virtualTimeMs, team.tag - average);
    // Bounds the lag of a team that waited long for a rare upstream.
    const floor = this.virtualTimeMs - MAX_LAG_MS;
    if (team.tag < floor) team.settledMs += floor - team.tag;
    this.level = team.tag;
    this.competingTeams.reorder(team);
  }

  /**
   * Adds a team at the current virtual time. Its running tasks count, so it
   * gets all free capacity until it holds as much as the average team.
   */
  private join(team: TeamQueue, now: number): void {
    if (team.heapIndex >= 0) return;
    const idleMs = Math.max(0, now - team.pausedAtMs);
    const lag = team.pausedLagMs * 2 ** (-idleMs / LAG_HALF_LIFE_MS);
    team.settledMs = this.virtualTimeMs - Math.min(MAX_LAG_MS, lag);
    this.competingTeams.push(team);
    this.updateActiveWeight(team);
  }

  private pauseTeam(team: TeamQueue, now: number): void {
    if (team.heapIndex < 0) return;
    team.pausedLagMs = Math.min(0, this.level - team.tag);
    team.pausedAtMs = now;
    this.competingTeams.remove(team);
    this.updateActiveWeight(team);
  }

  private updateActiveWeight(team: TeamQueue): void {
    const active = team.heapIndex >= 0 || team.runningTasks > 0;
    if (active === team.active) return;
    team.active = active;
    this.activeWeight += active ? team.weight : -team.weight;
  }
}
