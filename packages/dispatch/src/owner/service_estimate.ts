/** Estimates from the queued work whether a job can still be served. */
import type {OpenJob} from './job_table_types.js';
import type {PoolIndex} from './pool_index.js';
import {DISPATCH_OVERHEAD_MS, type ReadyQueue} from './ready_queue.js';

/** Properties of a job that the estimate depends on. */
export type EstimatedJob = Pick<
  OpenJob,
  'receivedAt' | 'deadlineAt' | 'objectiveMs' | 'criticalPathMs'
> & {readonly priority: number};

/** Multiple of its objective up to which the result of a late job is useful. */
const USEFUL_FACTOR = 3;

/**
 * Queueing time in ms of the work in time below which late work is expected to
 * be served as well.
 */
const MAX_IDLE_WAIT_MS = 20;

/** Time constant in ms of the moving average of the late work served. */
const LATE_WORK_WINDOW_MS = 500;

/** Least fraction of the pool that late work is expected to get. */
const MIN_LATE_SHARE = 0.03;

/**
 * Averages how much late work the upstreams of a pool serve beside other work,
 * and estimates from it when a job can end.
 */
export class ServiceEstimate {
  private late = 0;
  private lateAt = 0;

  constructor(private readonly pool: PoolIndex) {}

  /**
   * Records the start of a late task.
   *
   * @param work Declared run time in ms multiplied by milli-CPUs.
   */
  recordLateStart(work: number, now: number): void {
    this.late = this.computeLateRate(now) + work / LATE_WORK_WINDOW_MS;
    this.lateAt = now;
  }

  /**
   * Whether a job that has not begun can end in time, or late while its result
   * is useful.
   */
  canServe(job: EstimatedJob, queue: ReadyQueue, now: number): boolean {
    const {pool} = this;
    if (pool.availableCount === 0) return true;
    const waitMs = queue.getWorkInTime(job.priority) / pool.workPerMs;
    const runMs = job.criticalPathMs * pool.meanTimeFactor;
    const endMs = now - job.receivedAt + waitMs + runMs + DISPATCH_OVERHEAD_MS;
    return endMs <= job.objectiveMs || this.canServeLate(job, queue, now);
  }

  /** Whether a job that has not begun can end late, with a useful result. */
  canServeLate(job: EstimatedJob, queue: ReadyQueue, now: number): boolean {
    const {pool} = this;
    const rate = pool.workPerMs;
    if (rate === 0) return true;
    const inTimeMs = queue.getWorkInTime(Infinity) / rate;
    const isIdle = inTimeMs < MAX_IDLE_WAIT_MS;
    if (isIdle && queue.workLate / rate < MAX_IDLE_WAIT_MS) return true;
    const minLateRate = MIN_LATE_SHARE * rate;
    const lateRate = isIdle
      ? rate
      : Math.max(this.computeLateRate(now), minLateRate);
    const waitMs = inTimeMs + queue.workLate / lateRate;
    const endAt = now + waitMs + job.criticalPathMs * pool.fastestTimeFactor;
    const usefulUntil = job.receivedAt + USEFUL_FACTOR * job.objectiveMs;
    return endAt <= Math.min(usefulUntil, job.deadlineAt);
  }

  private computeLateRate(now: number): number {
    return this.late * Math.exp((this.lateAt - now) / LATE_WORK_WINDOW_MS);
  }
}
