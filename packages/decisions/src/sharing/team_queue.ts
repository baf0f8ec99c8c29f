/** Queues, running tasks and fair-queueing state of one team. */
import {
  addResources,
  fitsInto,
  NO_RESOURCES,
  type Resources,
  subtractResources,
  type Urgency,
} from '@mustardferry/model';

import type {HeapItem} from '../common/heap.js';
import {KindQueue, type QueueEntry} from './kind_queue.js';
import type {TaskFilter} from './sharing_policy.js';

/** Urgencies from the first to the last served. */
export const URGENCIES = ['urgent', 'normal', 'background'] as const;

/**
 * Starts of more urgent tasks after which one less urgent task of the team
 * goes first. Without aging, a steady urgent load would starve the others.
 */
export const AGING_STARTS = 16;

/** The task that a team may start now. */
export interface Selection {
  readonly queue: KindQueue;
  readonly entry: QueueEntry;
  /** Whether the task goes before more urgent ones because of its age. */
  readonly aged: boolean;
}

/** Why a team has no task to start. */
export type BlockedReason = 'quota' | 'filter' | 'empty';

/** Queues of one urgency. */
interface UrgencyLevel {
  readonly kinds: Map<string, KindQueue>;
  tasks: number;
  /** Starts of more urgent tasks since the last start at this urgency. */
  skippedStarts: number;
}

const UNLIMITED_QUOTA: Resources = {
  slots: Infinity,
  processors: Infinity,
  memoryMb: Infinity,
  accelerators: Infinity,
};

/** Mutable scheduling state of a team. */
export class TeamQueue implements HeapItem {
  heapIndex = -1;
  /** Share of the team in the policy, as a fraction. */
  policyWeight = 1;
  /** Weight used on this instance, from the entitlement or the policy. */
  weight = 1;
  quota: Resources = UNLIMITED_QUOTA;
  running: Resources = NO_RESOURCES;
  runningTasks = 0;
  /** Whether the team has tasks to start or running tasks. */
  active = false;
  queued: Resources = NO_RESOURCES;
  /**
   * Cost of the ended tasks divided by the weight, in dominant-share
   * milliseconds, from the virtual time at which the team began to compete.
   */
  settledMs = 0;
  /** Expected cost of the running tasks, not divided by the weight. */
  outstandingMs = 0;
  consumedMs = 0;
  /**
   * Virtual time by which the team was behind its fair share (positive) or
   * ahead of it (negative) when it stopped competing; corrected by the actual
   * cost of tasks that end later.
   */
  pausedLagMs = 0;
  pausedAtMs = 0;
  private readonly levels: Record<Urgency, UrgencyLevel> = {
    urgent: {kinds: new Map(), tasks: 0, skippedStarts: 0},
    normal: {kinds: new Map(), tasks: 0, skippedStarts: 0},
    background: {kinds: new Map(), tasks: 0, skippedStarts: 0},
  };

  constructor(readonly team: string) {}

  /** Virtual time of the team. The team with the lowest goes first. */
  get tag(): number {
    return this.settledMs + this.outstandingMs / this.weight;
  }

  get size(): number {
    return URGENCIES.reduce((sum, name) => sum + this.levels[name].tasks, 0);
  }

  setQuota(quota: Resources): void {
    this.quota = quota;
    for (const queue of this.queues()) queue.restoreOversized();
  }

  *queues(): Iterable<KindQueue> {
    for (const name of URGENCIES) yield* this.levels[name].kinds.values();
  }

  /** Expected run time of the queued tasks at least as urgent as `urgency`. */
  sumWorkAheadMs(urgency: Urgency): number {
    let work = 0;
    for (const name of URGENCIES) {
      for (const queue of this.levels[name].kinds.values()) {
        work += queue.workMs;
      }
      if (name === urgency) break;
    }
    return work;
  }

  add(entry: QueueEntry): void {
    const {urgency, kind, resources} = entry.task;
    const level = this.levels[urgency];
    let queue = level.kinds.get(kind);
    if (!queue) {
      queue = new KindQueue(this.team, kind);
      level.kinds.set(kind, queue);
    }
    queue.add(entry);
    level.tasks++;
    this.queued = addResources(this.queued, resources);
  }

  remove(entry: QueueEntry): void {
    const {urgency, kind, resources} = entry.task;
    const level = this.levels[urgency];
    const queue = level.kinds.get(kind);
    if (!queue?.remove(entry)) return;
    level.tasks--;
    // Removes empty queues, so that kinds no longer in use take no memory.
    if (queue.size === 0) level.kinds.delete(kind);
    this.queued =
      this.size === 0
        ? NO_RESOURCES
        : subtractResources(this.queued, resources);
  }

  /** Finds the task to start: aged tasks first, then by urgency and target. */
  select(filter: TaskFilter | undefined): Selection | BlockedReason {
    let blocked: BlockedReason = 'empty';
    const agedFirst = this.findAgedUrgency();
    const order = agedFirst ? [agedFirst, ...URGENCIES] : URGENCIES;
    for (const name of order) {
      const found = this.selectFromLevel(this.levels[name], filter);
      if (typeof found === 'object')
        return {...found, aged: name === agedFirst};
      if (found === 'filter' || blocked === 'empty') blocked = found;
    }
    return blocked;
  }

  /** Counts a start, for the aging of the less urgent levels. */
  started(urgency: Urgency): void {
    this.levels[urgency].skippedStarts = 0;
    const position = URGENCIES.indexOf(urgency);
    for (const name of URGENCIES.slice(position + 1)) {
      const level = this.levels[name];
      level.skippedStarts = level.tasks > 0 ? level.skippedStarts + 1 : 0;
    }
  }

  private findAgedUrgency(): Urgency | undefined {
    return URGENCIES.findLast(
      name =>
        this.levels[name].tasks > 0 &&
        this.levels[name].skippedStarts >= AGING_STARTS,
    );
  }

  private selectFromLevel(
    level: UrgencyLevel,
    filter: TaskFilter | undefined,
  ): Omit<Selection, 'aged'> | BlockedReason {
    let blocked: BlockedReason = 'empty';
    let best: Omit<Selection, 'aged'> | undefined;
    for (const queue of level.kinds.values()) {
      const entry = this.findHead(queue);
      if (!entry) {
        if (blocked === 'empty' && queue.size > 0) blocked = 'quota';
        continue;
      }
      if (best && best.entry.task.targetAtMs <= entry.task.targetAtMs) continue;
      if (!this.isWithinQuota(entry.task.resources)) {
        if (blocked === 'empty') blocked = 'quota';
      } else if (filter && !filter(entry.task)) {
        blocked = 'filter';
      } else best = {queue, entry};
    }
    return best ?? blocked;
  }

  /** Finds the first task within the whole quota; excludes larger ones. */
  private findHead(queue: KindQueue): QueueEntry | undefined {
    let entry = queue.peekHead();
    while (entry && !fitsInto(entry.task.resources, this.quota)) {
      queue.excludeHead();
      entry = queue.peekHead();
    }
    return entry;
  }

  private isWithinQuota(need: Resources): boolean {
    return fitsInto(addResources(this.running, need), this.quota);
  }
}
