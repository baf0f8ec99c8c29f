/** Waiting tasks of one kind of one team, earliest target time first. */
import {type HeapItem, IndexedHeap} from '../common/heap.js';
import type {QueuedTask} from './sharing_policy.js';

/** A queued task with its place in the queue. */
export interface QueueEntry extends HeapItem {
  readonly task: QueuedTask;
  /** Order of arrival, which breaks ties. */
  readonly order: number;
}

function before(a: QueueEntry, b: QueueEntry): boolean {
  const difference = a.task.targetAtMs - b.task.targetAtMs;
  return difference !== 0 ? difference < 0 : a.order < b.order;
}

/** Queue with its totals kept up to date. */
export class KindQueue {
  private readonly heap = new IndexedHeap<QueueEntry>(before);
  private work = 0;

  constructor(
    readonly team: string,
    readonly kind: string,
  ) {}

  get size(): number {
    return this.heap.size;
  }

  get workMs(): number {
    return this.heap.size === 0 ? 0 : Math.max(0, this.work);
  }

  head(): QueueEntry | undefined {
    return this.heap.peek();
  }

  add(entry: QueueEntry): void {
    this.heap.push(entry);
    this.work += entry.task.expectedRunMs;
  }

  remove(entry: QueueEntry): void {
    if (entry.heapIndex < 0) return;
    this.heap.remove(entry);
    this.work -= entry.task.expectedRunMs;
  }
}
