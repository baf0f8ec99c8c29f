/** Queues, running tasks and fair-share tag of one team. */
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
 * goes first. Without it a steady urgent load would hold the others forever.
 */
export const AGING_STARTS = 16;

/** What the team may start now. */
export interface Selection {
  readonly queue: KindQueue;
  readonly entry: QueueEntry;
  readonly aged: boolean;
}

/** Why a team has nothing to start. */
export type Blocked = 'quota' | 'filter' | 'empty';

/** Queues of one urgency. */
interface Level {
  readonly kinds: Map<string, KindQueue>;
  tasks: number;
  skipped: number;
}

const NO_TEAM_LIMIT: Resources = {
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
  /** Weight in force on this instance. */
  weight = 1;
  quota: Resources = NO_TEAM_LIMIT;
  running: Resources = NO_RESOURCES;
  runningTasks = 0;
  /** Whether the team competes or has running tasks. */
  active = false;
  queued: Resources = NO_RESOURCES;
  /** Settled service divided by the weight, in dominant-share milliseconds. */
  settled = 0;
  /** Expected service of the running tasks, not divided by the weight. */
  outstanding = 0;
  consumed = 0;
  /** Credit (positive) or debt since the team stopped competing. */
  lag = 0;
  pausedAtMs = 0;
  private readonly levels: Record<Urgency, Level> = {
    urgent: {kinds: new Map(), tasks: 0, skipped: 0},
    normal: {kinds: new Map(), tasks: 0, skipped: 0},
    background: {kinds: new Map(), tasks: 0, skipped: 0},
  };

  constructor(readonly team: string) {}

  /** Position in the fair order; the lowest goes first. */
  get tag(): number {
    return this.settled + this.outstanding / this.weight;
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

  /** Expected run time of the waiting tasks at least as urgent as `urgency`. */
  workAheadMs(urgency: Urgency): number {
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
    // Empty queues are dropped, so that kinds of the past cost no memory.
    if (queue.size === 0) level.kinds.delete(kind);
    this.queued =
      this.size === 0
        ? NO_RESOURCES
        : subtractResources(this.queued, resources);
  }

  /** Finds the task to start by urgency, then target time, then aging. */
  select(filter: TaskFilter | undefined): Selection | Blocked {
    let blocked: Blocked = 'empty';
    const agedFirst = this.agedLevel();
    const order = agedFirst ? [agedFirst, ...URGENCIES] : URGENCIES;
    for (const name of order) {
      const found = this.selectIn(this.levels[name], filter);
      if (typeof found === 'object')
        return {...found, aged: name === agedFirst};
      if (found === 'filter' || blocked === 'empty') blocked = found;
    }
    return blocked;
  }

  /** Counts a start, for the aging of the less urgent levels. */
  started(urgency: Urgency): void {
    this.levels[urgency].skipped = 0;
    const position = URGENCIES.indexOf(urgency);
    for (const name of URGENCIES.slice(position + 1)) {
      const level = this.levels[name];
      level.skipped = level.tasks > 0 ? level.skipped + 1 : 0;
    }
  }

  private agedLevel(): Urgency | undefined {
    return URGENCIES.findLast(
      name =>
        this.levels[name].tasks > 0 &&
        this.levels[name].skipped >= AGING_STARTS,
    );
  }

  private selectIn(
    level: Level,
    filter: TaskFilter | undefined,
  ): Omit<Selection, 'aged'> | Blocked {
    let blocked: Blocked = 'empty';
    let best: Omit<Selection, 'aged'> | undefined;
    for (const queue of level.kinds.values()) {
      const entry = this.headOf(queue);
      if (!entry) {
        if (blocked === 'empty' && queue.size > 0) blocked = 'quota';
        continue;
      }
      if (best && best.entry.task.targetAtMs <= entry.task.targetAtMs) continue;
      if (!this.withinQuota(entry.task.resources)) {
        if (blocked === 'empty') blocked = 'quota';
      } else if (filter && !filter(entry.task)) {
        blocked = 'filter';
      } else best = {queue, entry};
    }
    return best ?? blocked;
  }

  /** The first task that fits the quota when nothing of the team runs. */
  private headOf(queue: KindQueue): QueueEntry | undefined {
    let entry = queue.head();
    while (entry && !fitsInto(entry.task.resources, this.quota)) {
      queue.setAsideHead();
      entry = queue.head();
    }
    return entry;
  }

  private withinQuota(need: Resources): boolean {
    return fitsInto(addResources(this.running, need), this.quota);
  }
}
