/** Tasks of one pool that wait for an upstream. */
import type {OpenJob, OpenTask} from './job_table_types.js';

/**
 * Time in ms that a job spends on the way besides waiting and running: its
 * start, the notice of its end, and the answer to its caller.
 */
export const DISPATCH_OVERHEAD_MS = 25;

/**
 * A job is worth nothing once it takes three times its objective; objectives
 * are known to about a third, as declared run times are off.
 */
const TOO_LATE_FACTOR = 4;

/** Tasks in one list that may be passed over before the next list. */
const MAX_SKIPPED_TASKS = 24;

/**
 * Part of the declared run time that surely passes, as declared times are off
 * by about a third.
 */
const MIN_RUN_TIME_FRACTION = 0.7;

/**
 * What an answer is worth after the objective, against one in time: a late job
 * of which less than this part is left to start is worth as much as a new one.
 */
const LATE_VALUE = 0.2;

/** Whether a job can still meet its objective. */
export type LatenessBand =
  | 'in-time'
  /** Late, after the start of some of its tasks. */
  | 'begun'
  | 'late'
  /** Can't end before it is worth nothing, or its caller stops waiting. */
  | 'worthless';

const BANDS: readonly LatenessBand[] = [
  'in-time',
  'begun',
  'late',
  'worthless',
];

/** What `offer` did with a task. */
export type OfferResult =
  | 'placed'
  /** No upstream that suits this task has room. */
  | 'passed-over'
  /** No upstream has room for any task. */
  | 'full';

/** One pass over the queue. */
export interface SchedulingPass {
  readonly now: number;
  /** Time factor of the fastest upstream of the pool. */
  readonly fastestTimeFactor: number;
  /** Whether a task may start now; others keep their place. */
  readonly mayStart: (task: OpenTask) => boolean;
  readonly offer: (task: OpenTask, band: LatenessBand) => OfferResult;
  /** Drops the job of a worthless task; returns whether it did. */
  readonly dropJob: (task: OpenTask) => boolean;
  /** Whether a late job that has not begun can end while of worth. */
  readonly canServeLate: (task: OpenTask) => boolean;
}

/**
 * Orders tasks by whether their job can still meet its objective, then by the
 * priority of the queue, then by age. In a burst some jobs are late, instead
 * of all of them. Late jobs that have begun go before others, as their work
 * would be lost, but not before jobs in time.
 */
export class ReadyQueue {
  private readonly bands: Record<LatenessBand, Map<number, OpenTask[]>> = {
    'in-time': new Map(),
    begun: new Map(),
    late: new Map(),
    worthless: new Map(),
  };
  private count = 0;
  private readonly work = new Map<LatenessBand, Map<number, number>>(
    BANDS.map(band => [band, new Map<number, number>()]),
  );

  /** Tasks queued; some may have left the ready phase since. */
  get size(): number {
    return this.count;
  }

  /** Waiting work of jobs in time, up to a priority; see `workOf`. */
  workInTime(priority: number): number {
    let sum = 0;
    for (const [other, work] of this.work.get('in-time') ?? []) {
      if (other <= priority) sum += work;
    }
    return sum;
  }

  /** Waiting work of late jobs that are of worth. */
  get workLate(): number {
    let sum = 0;
    for (const band of ['begun', 'late'] as const) {
      for (const work of this.work.get(band)?.values() ?? []) sum += work;
    }
    return sum;
  }

  /** Takes a task off the waiting work; it may stay in a list until passed. */
  subtractWork(task: OpenTask): void {
    if (task.queuedBand === null) return;
    this.addWork(task.queuedBand, task, -1);
    task.queuedBand = null;
  }

  add(task: OpenTask): void {
    this.insert('in-time', task);
  }

  /** Offers tasks in order until no upstream has room. */
  offerAll(pass: SchedulingPass): void {
    this.dropTooLate(pass);
    for (const band of BANDS) {
      const byPriority = this.bands[band];
      const priorities = [...byPriority.keys()].sort((a, b) => a - b);
      for (const priority of priorities) {
        const list = byPriority.get(priority) ?? [];
        if (!this.offerList(band, list, pass)) return;
      }
    }
  }

  /** Drops the oldest late jobs, which are not offered without room. */
  private dropTooLate(pass: SchedulingPass): void {
    for (const band of ['begun', 'late'] as const) {
      for (const list of this.bands[band].values()) {
        let taken = 0;
        for (const task of list) {
          const isReady = task.phase === 'ready';
          if (isReady && isStillUseful(task, band, pass)) break;
          taken++;
          this.leave(task);
          if (isReady && !pass.dropJob(task)) this.insert('worthless', task);
        }
        list.splice(0, taken);
      }
    }
  }

  private offerList(
    band: LatenessBand,
    list: OpenTask[],
    pass: SchedulingPass,
  ): boolean {
    const passed: OpenTask[] = [];
    let passedOver = 0;
    let taken = 0;
    let goesOn = true;
    while (goesOn && taken < list.length && passedOver < MAX_SKIPPED_TASKS) {
      const task = list[taken++];
      if (!task) break;
      if (task.phase !== 'ready') {
        this.leave(task);
        continue;
      }
      if (!pass.mayStart(task)) {
        passed.push(task);
        continue;
      }
      const due = bandOf(task, pass);
      if (BANDS.indexOf(due) > BANDS.indexOf(band)) {
        this.leave(task);
        if (due !== 'worthless' || !pass.dropJob(task)) this.insert(due, task);
        continue;
      }
      const result = pass.offer(task, band);
      if (result === 'placed') {
        this.leave(task);
      } else {
        passedOver++;
        passed.push(task);
      }
      goesOn = result !== 'full';
    }
    list.splice(0, taken, ...passed);
    return goesOn;
  }

  private insert(band: LatenessBand, task: OpenTask): void {
    const {priority} = task.job.queue;
    const list = this.bands[band].get(priority);
    if (list) list.push(task);
    else this.bands[band].set(priority, [task]);
    this.count++;
    // A task whose run was lost may still be in the list of its first wait.
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
    sums?.set(priority, (sums.get(priority) ?? 0) + sign * workOf(task));
  }
}

/** Declared run time multiplied by thousandths of a processor. */
export function workOf({step}: OpenTask): number {
  return step.declaredMs * step.cpuMillis;
}

/**
 * Judged once the passes before have sorted out what is late: while others that
 * became late at the same moment count as in time, little seems left for it.
 */
function isStillUseful(
  task: OpenTask,
  band: LatenessBand,
  pass: SchedulingPass,
): boolean {
  if (bandOf(task, pass) === 'worthless') return false;
  return band !== 'late' || pass.canServeLate(task);
}

function bandOf(
  {job, step}: OpenTask,
  {now, fastestTimeFactor: fastestFactor}: SchedulingPass,
): LatenessBand {
  const elapsedMs = now - job.receivedAt;
  const runMs = step.declaredMs * fastestFactor;
  // Learned times hold delays of orders and ends, so only gains are sure.
  const sureMs =
    step.declaredMs * Math.min(1, fastestFactor) * MIN_RUN_TIME_FRACTION;
  if (now + sureMs > job.deadlineAt) return 'worthless';
  if (elapsedMs + runMs + DISPATCH_OVERHEAD_MS <= job.objectiveMs)
    return 'in-time';
  if (job.started) return isMostlyStarted(job) ? 'in-time' : 'begun';
  const isWorthless = elapsedMs > job.objectiveMs * TOO_LATE_FACTOR;
  return isWorthless ? 'worthless' : 'late';
}

function isMostlyStarted({tasks}: OpenJob): boolean {
  let total = 0;
  let waiting = 0;
  for (const task of tasks.flat()) {
    const {phase} = task;
    total += workOf(task);
    if (phase !== 'active' && phase !== 'ended') waiting += workOf(task);
  }
  return waiting < LATE_VALUE * total;
}
