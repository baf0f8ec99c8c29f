/** Tasks of one pool that wait for an upstream. */
import type {BoardTask} from './board_types.js';

/**
 * Share of the declared run time that a task takes at best; upstreams differ
 * by about this much from the mean.
 */
const BEST_RUN_SHARE = 0.6;

/** A job is worth nothing once it takes this many times its objective. */
const WORTHLESS_FACTOR = 3;

/** Tasks in one band that may be passed over before a pass ends. */
const MAX_PASSED_OVER = 24;

type Band = 'in-time' | 'late' | 'worthless';

const BANDS: readonly Band[] = ['in-time', 'late', 'worthless'];

/** What `offer` did with a task. */
export type OfferResult =
  | 'placed'
  /** No upstream has room for this task. */
  | 'passed-over'
  /** No upstream has room for any task. */
  | 'full';

/**
 * Orders tasks by whether their job can still meet its objective, then by the
 * priority of the queue, then by age, so that a burst doesn't make every job
 * late.
 */
export class ReadyQueue {
  private readonly bands: Record<Band, Map<number, BoardTask[]>> = {
    'in-time': new Map(),
    late: new Map(),
    worthless: new Map(),
  };
  private count = 0;

  /** Tasks queued; some may have left the ready phase since. */
  get size(): number {
    return this.count;
  }

  add(task: BoardTask): void {
    this.put('in-time', task);
  }

  /** Offers tasks in order until no upstream has room. */
  offerAll(now: number, offer: (task: BoardTask) => OfferResult): void {
    for (const band of BANDS) {
      const byPriority = this.bands[band];
      const priorities = [...byPriority.keys()].sort((a, b) => a - b);
      for (const priority of priorities) {
        const list = byPriority.get(priority) ?? [];
        if (!this.offerList(band, list, now, offer)) return;
      }
    }
  }

  private offerList(
    band: Band,
    list: BoardTask[],
    now: number,
    offer: (task: BoardTask) => OfferResult,
  ): boolean {
    const passed: BoardTask[] = [];
    let taken = 0;
    let goesOn = true;
    while (goesOn && taken < list.length && passed.length < MAX_PASSED_OVER) {
      const task = list[taken++];
      if (!task || task.phase !== 'ready') {
        this.count--;
        continue;
      }
      const due = bandOf(task, now);
      if (BANDS.indexOf(due) > BANDS.indexOf(band)) {
        this.count--;
        this.put(due, task);
        continue;
      }
      const result = offer(task);
      if (result === 'placed') this.count--;
      else passed.push(task);
      goesOn = result !== 'full';
    }
    list.splice(0, taken, ...passed);
    return goesOn;
  }

  private put(band: Band, task: BoardTask): void {
    const {priority} = task.job.queue;
    const list = this.bands[band].get(priority);
    if (list) list.push(task);
    else this.bands[band].set(priority, [task]);
    this.count++;
  }
}

function bandOf({job, step}: BoardTask, now: number): Band {
  const earliestMs = now - job.since + step.declaredMs * BEST_RUN_SHARE;
  if (earliestMs <= job.objectiveMs) return 'in-time';
  return earliestMs <= job.objectiveMs * WORTHLESS_FACTOR
    ? 'late'
    : 'worthless';
}
