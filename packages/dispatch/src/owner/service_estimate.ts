/** Whether a job can still be served, by the work that waits before it. */
import type {OpenJob} from './job_table_types.js';
import type {PoolIndex} from './pool_index.js';
import {DISPATCH_OVERHEAD_MS, type ReadyQueue} from './ready_queue.js';

/** What the estimate needs of a job. */
export type EstimatedJob = Pick<
  OpenJob,
  'receivedAt' | 'deadlineAt' | 'objectiveMs' | 'criticalPathMs'
> & {readonly priority: number};

/** Times its objective up to which a late job is expected to be of worth. */
const USEFUL_FACTOR = 3;

/**
 * Time in ms that work in time may wait while late work is expected to get
 * upstreams as well.
 */
const MAX_IDLE_WAIT_MS = 20;

/** Time in ms over which the service of late work is averaged. */
const LATE_WORK_WINDOW_MS = 500;

/** Least part of the pool that late work is expected to get. */
const MIN_LATE_SHARE = 0.03;

/** Follows how much late work the upstreams of a pool get beside other work. */
export class ServiceEstimate {
  private late = 0;
  private lateAt = 0;

  constructor(private readonly pool: PoolIndex) {}

  /**
   * Notes the start of a late task.
   *
   * @param work Declared time multiplied by the processors.
   */
  recordLateStart(work: number, now: number): void {
    this.late = this.lateRate(now) + work / LATE_WORK_WINDOW_MS;
    this.lateAt = now;
  }

  /** Whether a job that has not begun can be in time, or late but of worth. */
  canServe(job: EstimatedJob, queue: ReadyQueue, now: number): boolean {
    const {pool} = this;
    if (pool.availableCount === 0) return true;
    const waitMs = queue.workInTime(job.priority) / pool.workPerMs;
    const runMs = job.criticalPathMs * pool.meanTimeFactor;
    const endMs = now - job.receivedAt + waitMs + runMs + DISPATCH_OVERHEAD_MS;
    return endMs <= job.objectiveMs || this.canServeLate(job, queue, now);
  }

  /** Whether a job that has not begun can end late, but while of worth. */
  canServeLate(job: EstimatedJob, queue: ReadyQueue, now: number): boolean {
    const {pool} = this;
    const rate = pool.workPerMs;
    if (rate === 0) return true;
    const inTimeMs = queue.workInTime(Infinity) / rate;
    const isIdle = inTimeMs < MAX_IDLE_WAIT_MS;
    if (isIdle && queue.workLate / rate < MAX_IDLE_WAIT_MS) return true;
    const leastRate = MIN_LATE_SHARE * rate;
    const lateRate = isIdle ? rate : Math.max(this.lateRate(now), leastRate);
    const waitMs = inTimeMs + queue.workLate / lateRate;
    const endAt = now + waitMs + job.criticalPathMs * pool.fastestTimeFactor;
    const worthUntil = job.receivedAt + USEFUL_FACTOR * job.objectiveMs;
    return endAt <= Math.min(worthUntil, job.deadlineAt);
  }

  private lateRate(now: number): number {
    return this.late * Math.exp((this.lateAt - now) / LATE_WORK_WINDOW_MS);
  }
}
