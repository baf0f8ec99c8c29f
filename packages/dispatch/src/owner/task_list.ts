/** Waiting tasks of one lateness band and priority, in order of their age. */
import type {OpenTask} from './job_table_types.js';

/** Result of visiting a task. */
export type VisitResult =
  /** It leaves the list. */
  | 'removed'
  /** It stays, and was not offered. */
  | 'kept'
  /** It stays; others with the same requirements may be placed. */
  | 'skipped'
  /** It stays, and none with the same requirements can be placed now. */
  | 'blocked'
  /** It stays, and no other task can be placed now. */
  | 'full';

interface Entry {
  readonly task: OpenTask;
  /** Increases with each task that is added to the list. */
  readonly sequence: number;
}

/** Tasks with the same requirements, from the oldest to the newest. */
interface TaskGroup {
  readonly entries: Entry[];
  /** Where a pass continues after it has skipped tasks at the head. */
  resumeAt: number;
}

/** Tasks that a pass skips from one start in a group before it moves on. */
const MAX_SKIPPED_TASKS = 24;

/** Groups that a pass visits; the next passes visit the others. */
const MAX_VISITED_GROUPS = 64;

/**
 * Groups tasks by what they require of an upstream, so that those which no
 * upstream can take don't keep others from being offered.
 */
export class TaskList {
  /** In the order in which passes visit them. */
  private readonly groups = new Map<string, TaskGroup>();
  private nextSequence = 0;

  add(task: OpenTask): void {
    const key = createGroupKey(task);
    const entry = {task, sequence: this.nextSequence++};
    const group = this.groups.get(key);
    if (group) group.entries.push(entry);
    else this.groups.set(key, {entries: [entry], resumeAt: 0});
  }

  /** Removes the oldest tasks of each group while `isRemoved` returns true. */
  removeOldest(isRemoved: (task: OpenTask) => boolean): void {
    for (const [key, {entries}] of this.groups) {
      const kept = entries.findIndex(({task}) => !isRemoved(task));
      entries.splice(0, kept < 0 ? entries.length : kept);
      if (entries.length === 0) this.groups.delete(key);
    }
  }

  /**
   * Visits tasks from the oldest to the newest.
   *
   * @returns Whether tasks can be placed after this list, and whether some were
   *     left out that might have been placed.
   */
  visit(visitTask: (task: OpenTask) => VisitResult): {
    readonly hasCapacity: boolean;
    readonly isIncomplete: boolean;
  } {
    const keys = [...this.groups.keys()].slice(0, MAX_VISITED_GROUPS);
    let isIncomplete = keys.length < this.groups.size;
    const visits = keys.map(key => this.startVisit(key));
    let hasCapacity = true;
    while (hasCapacity) {
      const visit = findOldest(visits);
      if (!visit?.next) break;
      const result = visitTask(visit.next.task);
      visit.record(result);
      hasCapacity = result !== 'full';
    }
    for (const [n, key] of keys.entries()) {
      const visit = visits[n];
      if (!visit) continue;
      visit.close();
      isIncomplete ||= visit.isIncomplete;
      if (visit.isEmpty) this.groups.delete(key);
    }
    return {hasCapacity, isIncomplete: hasCapacity && isIncomplete};
  }

  /** Moves a group behind all others, and starts a visit to it. */
  private startVisit(key: string): GroupVisit {
    const group = this.groups.get(key) ?? {entries: [], resumeAt: 0};
    this.groups.delete(key);
    this.groups.set(key, group);
    return new GroupVisit(group);
  }
}

/** Part of a group that a pass visits without a gap. */
interface Stretch {
  readonly from: number;
  to: number;
  readonly kept: Entry[];
  skipped: number;
}

/**
 * Visit of one pass to a group: its head, and if tasks there are skipped, a
 * stretch that each pass continues where the one before has stopped.
 */
class GroupVisit {
  private readonly stretches: Stretch[] = [createStretch(0)];
  private blocked = false;

  constructor(private readonly group: TaskGroup) {}

  get isEmpty(): boolean {
    return this.group.entries.length === 0;
  }

  /** The entry to visit next, if there is one. */
  get next(): Entry | undefined {
    if (this.blocked) return undefined;
    const stretch = this.current;
    return stretch && stretch.skipped < MAX_SKIPPED_TASKS
      ? this.group.entries[stretch.to]
      : undefined;
  }

  /** Whether the pass stopped before tasks that might have been placed. */
  get isIncomplete(): boolean {
    return this.group.resumeAt > 0;
  }

  record(result: VisitResult): void {
    const {current: stretch, next} = this;
    if (!stretch || !next) return;
    stretch.to++;
    if (result !== 'removed') stretch.kept.push(next);
    if (result === 'skipped') stretch.skipped++;
    if (result === 'blocked') this.blocked = true;
    const isAtHead = this.stretches.length === 1;
    if (isAtHead && stretch.skipped === MAX_SKIPPED_TASKS) {
      const from = Math.max(stretch.to, this.group.resumeAt);
      this.stretches.push(createStretch(from));
    }
  }

  /** Removes the tasks that left the group. */
  close(): void {
    const {entries} = this.group;
    const last = this.current;
    const removed = this.stretches.reduce(
      (sum, {from, to, kept}) => sum + to - from - kept.length,
      0,
    );
    const isAtEnd = !last || last.to >= entries.length;
    const stopped = last?.skipped === MAX_SKIPPED_TASKS && !isAtEnd;
    this.group.resumeAt = stopped ? last.to - removed : 0;
    for (const {from, to, kept} of [...this.stretches].reverse()) {
      kept.forEach((entry, n) => (entries[from + n] = entry));
      entries.splice(from + kept.length, to - from - kept.length);
    }
  }

  private get current(): Stretch | undefined {
    return this.stretches.at(-1);
  }
}

function createStretch(from: number): Stretch {
  return {from, to: from, kept: [], skipped: 0};
}

function findOldest(visits: readonly GroupVisit[]): GroupVisit | undefined {
  let oldest: GroupVisit | undefined;
  let lowest = Infinity;
  for (const visit of visits) {
    const sequence = visit.next?.sequence ?? Infinity;
    if (sequence >= lowest) continue;
    oldest = visit;
    lowest = sequence;
  }
  return oldest;
}

/** Tasks with the same key can be placed on the same upstreams. */
function createGroupKey({step, id}: OpenTask): string {
  const {label, cpuMillis, memoryMb, accelerators, maxPerUpstream} = step;
  // Upstreams at the limit of one step may take tasks of another.
  const limited = maxPerUpstream > 0 ? [id.job, id.step] : [];
  const key = [label, cpuMillis, memoryMb, accelerators, ...limited];
  return JSON.stringify(key);
}
