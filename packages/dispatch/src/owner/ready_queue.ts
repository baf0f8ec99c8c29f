/** Queue of the tasks of one pool that wait for an upstream. */
import type {OpenJob, OpenTask} from './job_table_types.js';
import {TaskList, type VisitResult} from './task_list.js';

/**
 * Time in ms that a job takes besides waiting and running: for its start, the
 * report of its end, and the reply to its caller.
 */
export const DISPATCH_OVERHEAD_MS = 25;

/**
 * Multiple of the objective after which a result counts as useless. Results
 * lose their value at three times the objective; the margin allows for declared
 * run times that are off by about a third.
 */
const USELESS_FACTOR = 4;

/**
 * Least fraction of the declared run time that a run takes, as declared times
 * are off by about a third.
 */
export const MIN_RUN_TIME_FRACTION = 0.7;

/**
 * Value of a late result relative to one in time. A late job of which less than
 * this fraction is left to start yields as much for the remaining work as a new
 * job.
 */
const LATE_VALUE = 0.2;

/** Whether a job can still meet its objective; tasks are queued by it. */
export type LatenessBand =
  | 'in-time'
  /** Late, and some of its tasks have started. */
  | 'underway'
  | 'late'
  /** Can't end before its result is useless or its caller stops waiting. */
  | 'useless';

const BANDS: readonly LatenessBand[] = [
  'in-time',
  'underway',
  'late',
  'useless',
];

/** Result of offering a task. */
export type OfferResult =
  | 'placed'
  /** It waits for a better upstream than those with free capacity. */
  | 'skipped'
  /** No upstream that meets its requirements has enough free capacity. */
  | 'blocked'
  /** No upstream has free capacity for any task. */
  | 'full';

/** Parameters and callbacks of one pass over the queue. */
export interface SchedulingPass {
  readonly now: number;
  /** Time factor of the fastest upstream of the pool. */
  readonly fastestTimeFactor: number;
  /** Whether a task may start now; others keep their place. */
  readonly mayStart: (task: OpenTask) => boolean;
  readonly offer: (task: OpenTask, band: LatenessBand) => OfferResult;
  /** Drops the job of a useless task; returns whether it did. */
  readonly dropJob: (task: OpenTask) => boolean;
  /**
   * Whether a late job that has not begun can end while its result is useful.
   */
  readonly canServeLate: (task: OpenTask) => boolean;
}

/**
 * Orders tasks by lateness band, then by the priority of their queue, then by
 * age, so that some jobs are late in a burst instead of all. Late jobs that
 * have begun go before other late ones, as their work would be lost, but not
 * before jobs in time.
 */
export class ReadyQueue {
  private readonly bands: Record<LatenessBand, Map<number, TaskList>> = {
    'in-time': new Map(),
    underway: new Map(),
    late: new Map(),
    useless: new Map(),
  };
  private count = 0;
  private readonly work = new Map<LatenessBand, Map<number, number>>(
    BANDS.map(band => [band, new Map<number, number>()]),
  );

  /** Number of queued tasks; some may have left the ready phase since. */
  get size(): number {
    return this.count;
  }

  /** Waiting work of jobs in time up to a priority value; see `computeWork`. */
  getWorkInTime(priority: number): number {
    let sum = 0;
    for (const [otherPriority, work] of this.work.get('in-time') ?? []) {
      if (otherPriority <= priority) sum += work;
    }
    return sum;
  }

  /** Waiting work of late jobs whose results are still useful. */
  get workLate(): number {
    let sum = 0;
    for (const band of ['underway', 'late'] as const) {
      for (const work of this.work.get(band)?.values() ?? []) sum += work;
    }
    return sum;
  }

  /**
   * Subtracts the work of a task from the waiting work; its entry may stay in a
   * list until a pass reaches it.
   */
  subtractWork(task: OpenTask): void {
    if (task.queuedBand === null) return;
    this.addWork(task.queuedBand, task, -1);
    task.queuedBand = null;
  }

  add(task: OpenTask): void {
    this.insert('in-time', task);
  }

  /**
   * Offers tasks in order until no upstream has free capacity; returns whether
   * another pass should follow soon, as this one has left tasks out.
   */
  offerAll(pass: SchedulingPass): boolean {
    this.dropUseless(pass);
    let needsAnother = false;
    for (const band of BANDS) {
      const byPriority = [...this.bands[band]].sort(([a], [b]) => a - b);
      for (const [, list] of byPriority) {
        const visited = list.visit(task => this.offer(task, band, pass));
        if (!visited.hasCapacity) return needsAnother;
        needsAnother ||= visited.isIncomplete;
      }
    }
    return needsAnother;
  }

  /**
   * Drops the oldest late jobs that are useless by now. Offers alone would not
   * reach them while the pool is full.
   */
  private dropUseless(pass: SchedulingPass): void {
    for (const band of ['underway', 'late'] as const) {
      for (const list of this.bands[band].values()) {
        list.removeOldest(task => {
          const isReady = task.phase === 'ready';
          if (isReady && isStillUseful(task, band, pass)) return false;
          this.leave(task);
          if (isReady && !pass.dropJob(task)) this.insert('useless', task);
          return true;
        });
      }
    }
  }

  private offer(
    task: OpenTask,
    band: LatenessBand,
    pass: SchedulingPass,
  ): VisitResult {
    if (task.phase !== 'ready') {
      this.leave(task);
      return 'removed';
    }
    if (!pass.mayStart(task)) return 'kept';
    const newBand = findBand(task, pass);
    if (BANDS.indexOf(newBand) > BANDS.indexOf(band)) {
      this.leave(task);
      if (newBand !== 'useless' || !pass.dropJob(task))
        this.insert(newBand, task);
      return 'removed';
    }
    const result = pass.offer(task, band);
    if (result !== 'placed') return result;
    this.leave(task);
    return 'removed';
  }

  private insert(band: LatenessBand, task: OpenTask): void {
    const {priority} = task.job.queue;
    const list = this.bands[band].get(priority) ?? new TaskList();
    this.bands[band].set(priority, list);
    list.add(task);
    this.count++;
    // A requeued task may still be in the list in which it waited before.
    this.subtractWork(task);
    task.queuedBand = band;
    this.addWork(band, task, 1);
  }

  private leave(task: OpenTask): void {
    this.count--;
    this.subtractWork(task);
  }

  private addWork(band: LatenessBand, task: OpenTask, sign: 1 | -1): void {
    const {priority} = task.job.queue;
    const sums = this.work.get(band);
    sums?.set(priority, (sums.get(priority) ?? 0) + sign * computeWork(task));
  }
}

/** CPU work of a task: declared run time in ms multiplied by milli-CPUs. */
export function computeWork({step}: OpenTask): number {
  return step.declaredMs * step.cpuMillis;
}

/**
 * Whether a task of a late band can still end while its result is useful. It is
 * checked only after a pass has moved all late tasks to their band: others that
 * became late at the same time would still count as work in time, which seems
 * to leave too little capacity for this one.
 */
function isStillUseful(
  task: OpenTask,
  band: LatenessBand,
  pass: SchedulingPass,
): boolean {
  if (findBand(task, pass) === 'useless') return false;
  return band !== 'late' || pass.canServeLate(task);
}

function findBand(
  {job, step}: OpenTask,
  {now, fastestTimeFactor}: SchedulingPass,
): LatenessBand {
  const elapsedMs = now - job.receivedAt;
  const runMs = step.declaredMs * fastestTimeFactor;
  // Measured run times include delays of orders and reports, so only a time
  // factor below 1 is reliable here.
  const minRunMs =
    step.declaredMs * Math.min(1, fastestTimeFactor) * MIN_RUN_TIME_FRACTION;
  if (now + minRunMs > job.deadlineAt) return 'useless';
  if (elapsedMs + runMs + DISPATCH_OVERHEAD_MS <= job.objectiveMs)
    return 'in-time';
  if (job.started) return isMostlyStarted(job) ? 'in-time' : 'underway';
  const isUseless = elapsedMs > job.objectiveMs * USELESS_FACTOR;
  return isUseless ? 'useless' : 'late';
}

function isMostlyStarted({work}: OpenJob): boolean {
  return work.waiting < LATE_VALUE * work.total;
}
