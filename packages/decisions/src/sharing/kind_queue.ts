/** Queued tasks of one kind of one team, earliest target time first. */
import {type HeapItem, IndexedHeap} from '../common/heap.js';
import type {QueuedTask} from './sharing_policy.js';

/** A queued task with its position in the queue. */
export interface QueueEntry extends HeapItem {
  readonly task: QueuedTask;
  /** Order of arrival, which decides between equal target times. */
  readonly order: number;
}

function before(a: QueueEntry, b: QueueEntry): boolean {
  const difference = a.task.targetAtMs - b.task.targetAtMs;
  return difference !== 0 ? difference < 0 : a.order < b.order;
}

/** Priority queue that maintains the sum of its expected run times. */
export class KindQueue {
  private readonly heap = new IndexedHeap<QueueEntry>(before);
  /** Tasks larger than the whole quota, which must not block the others. */
  private readonly oversized = new Set<QueueEntry>();
  private expectedWorkMs = 0;

  constructor(
    readonly team: string,
    readonly kind: string,
  ) {}

  get size(): number {
    return this.heap.size + this.oversized.size;
  }

  get workMs(): number {
    return this.size === 0 ? 0 : Math.max(0, this.expectedWorkMs);
  }

  peekHead(): QueueEntry | undefined {
    return this.heap.peek();
  }

  add(entry: QueueEntry): void {
    this.heap.push(entry);
    this.expectedWorkMs += entry.task.expectedRunMs;
  }

  /** Removes an entry. Returns false when it is not in this queue. */
  remove(entry: QueueEntry): boolean {
    if (entry.heapIndex >= 0) this.heap.remove(entry);
    else if (!this.oversized.delete(entry)) return false;
    this.expectedWorkMs -= entry.task.expectedRunMs;
    return true;
  }

  /** Excludes the head from scheduling until the quota changes. */
  excludeHead(): void {
    const entry = this.heap.pop();
    if (entry) this.oversized.add(entry);
  }

  /** Makes the oversized tasks available for scheduling again. */
  restoreOversized(): void {
    for (const entry of this.oversized) this.heap.push(entry);
    this.oversized.clear();
  }
}
