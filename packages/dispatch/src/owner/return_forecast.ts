/** Tells refused callers when capacity is expected for their jobs. */
import {MAX_RETRY_AFTER_S, ReturnSchedule} from '@mustardferry/decisions';

import type {JobRequest} from '../jobs/job_types.js';
import type {SubmitRefusal} from '../messages/calls.js';
import type {JobTable} from './job_table.js';
import type {RunStarter} from './run_starter.js';

export interface ReturnForecastOptions {
  readonly jobTable: JobTable;
  readonly starter: Pick<RunStarter, 'pool'>;
}

/** A job that counts as demand. */
export interface ForecastJob {
  readonly pool: string;
  readonly steps: JobRequest['steps'];
}

/** A job that is refused or given up. */
export interface RefusedJob extends ForecastJob {
  readonly objectiveMs: number;
  readonly reason: SubmitRefusal;
}

/**
 * Time constant in ms of the measured demand: long enough for the arrivals of
 * several seconds to even out, short enough to follow the end of a burst.
 */
const DEMAND_WINDOW_MS = 2_000;

/** Measures the demand on each pool, and schedules returns to it. */
export class ReturnForecast {
  private readonly demand = new Map<string, DecayingRate>();
  private readonly schedules = new Map<string, ReturnSchedule>();

  constructor(private readonly options: ReturnForecastOptions) {}

  /** Counts a job that arrived, whether it is admitted or not. */
  recordArrival(job: ForecastJob, now: number): void {
    let rate = this.demand.get(job.pool);
    if (!rate) {
      rate = new DecayingRate();
      this.demand.set(job.pool, rate);
    }
    rate.add(computeJobWork(job), now);
  }

  /** Returns the time in whole s after which the caller should come back. */
  getRetryAfterS(job: RefusedJob, now: number): number {
    // No forecast tells when an operator ends an evacuation.
    if (job.reason === 'evacuated') return MAX_RETRY_AFTER_S;
    const pool = this.options.starter.pool(job.pool);
    const queue = this.options.jobTable.readyQueues.get(job.pool);
    const demandPerMs = this.demand.get(job.pool)?.get(now) ?? 0;
    // Without upstreams the capacity is not known, and nothing is worked off.
    const capacityPerMs = pool.workPerMs || demandPerMs;
    const waiting = queue ? queue.getWorkInTime(Infinity) + queue.workLate : 0;
    let schedule = this.schedules.get(job.pool);
    if (!schedule) {
      schedule = new ReturnSchedule();
      this.schedules.set(job.pool, schedule);
    }
    return schedule.reserve({
      now,
      work: computeJobWork(job),
      capacityPerMs,
      demandPerMs,
      backlogMs: pool.workPerMs > 0 ? waiting / pool.workPerMs : 0,
      objectiveMs: job.objectiveMs,
    });
  }
}

/** Average of an amount per ms, with exponential decay. */
class DecayingRate {
  private rate = 0;
  private updatedAt = 0;

  add(amount: number, now: number): void {
    this.rate = this.get(now) + amount / DEMAND_WINDOW_MS;
    this.updatedAt = now;
  }

  get(now: number): number {
    return this.rate * Math.exp((this.updatedAt - now) / DEMAND_WINDOW_MS);
  }
}

/** CPU work of a job: declared run time in ms multiplied by milli-CPUs. */
function computeJobWork({steps}: ForecastJob): number {
  return steps.reduce(
    (sum, {tasks, declaredMs, cpuMillis}) =>
      sum + tasks * declaredMs * cpuMillis,
    0,
  );
}
