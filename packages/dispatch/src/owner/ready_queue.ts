/** Tasks of one pool that wait for an upstream. */
import type {BoardTask} from './board_types.js';

/**
 * Time in ms that a job spends on the way besides waiting and running: its
 * start, the notice of its end, and the answer to its caller.
 */
export const OVERHEAD_MS = 25;

/**
 * A job is worth nothing once it takes three times its objective; objectives
 * are known to about a third, as declared run times are off.
 */
const WORTHLESS_FACTOR = 4;

/** Tasks in one list that may be passed over before the next list. */
const MAX_PASSED_OVER = 24;

/** Whether a job can still meet its objective. */
export type Band = 'in-time' | 'late' | 'worthless';

const BANDS: readonly Band[] = ['in-time', 'late', 'worthless'];

/** What `offer` did with a task. */
export type OfferResult =
  | 'placed'
  /** No upstream that suits this task has room. */
  | 'passed-over'
  /** The task is not to be offered again. */
  | 'dropped'
  /** No upstream has room for any task. */
  | 'full';

/** One pass over the queue. */
export interface OfferPass {
  readonly now: number;
  /** Time factor of the fastest upstream of the pool. */
  readonly fastestFactor: number;
  /** Whether a task may start now; others keep their place. */
  readonly isOffered: (task: BoardTask) => boolean;
  readonly offer: (task: BoardTask, band: Band) => OfferResult;
}

/**
 * Orders tasks by whether their job can still meet its objective, then by the
 * priority of the queue, then by age. In a burst some jobs are late, instead
 * of all of them. Jobs that have begun keep their place, as their work would
 * be lost.
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
  offerAll(pass: OfferPass): void {
    for (const band of BANDS) {
      const byPriority = this.bands[band];
      const priorities = [...byPriority.keys()].sort((a, b) => a - b);
      for (const priority of priorities) {
        const list = byPriority.get(priority) ?? [];
        if (!this.offerList(band, list, pass)) return;
      }
    }
  }

  private offerList(band: Band, list: BoardTask[], pass: OfferPass): boolean {
    const passed: BoardTask[] = [];
    let passedOver = 0;
    let taken = 0;
    let goesOn = true;
    while (goesOn && taken < list.length && passedOver < MAX_PASSED_OVER) {
      const task = list[taken++];
      if (!task || task.phase !== 'ready') {
        this.count--;
        continue;
      }
      if (!pass.isOffered(task)) {
        passed.push(task);
        continue;
      }
      const due = bandOf(task, pass);
      if (BANDS.indexOf(due) > BANDS.indexOf(band)) {
        this.count--;
        this.put(due, task);
        continue;
      }
      const result = pass.offer(task, band);
      if (result === 'placed' || result === 'dropped') {
        this.count--;
      } else {
        passedOver++;
        passed.push(task);
      }
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

function bandOf({job, step}: BoardTask, {now, fastestFactor}: OfferPass): Band {
  const elapsedMs = now - job.since;
  if (elapsedMs > job.objectiveMs * WORTHLESS_FACTOR) return 'worthless';
  const earliestMs = elapsedMs + step.declaredMs * fastestFactor + OVERHEAD_MS;
  return job.started || earliestMs <= job.objectiveMs ? 'in-time' : 'late';
}
