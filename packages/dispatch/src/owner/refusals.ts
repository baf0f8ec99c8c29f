/** Replies to submissions that are not admitted. */
import type {Logger, Metrics} from '@mustardferry/runtime';

import type {QueueConfig} from '../jobs/configuration.js';
import type {JobRequest} from '../jobs/job_types.js';
import type {Reply, SubmitRefusal} from '../messages/calls.js';
import {computeExpectedTimes, type JobTable} from './job_table.js';
import type {ReturnForecast} from './return_forecast.js';

export interface RefusalsOptions {
  readonly jobTable: JobTable;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly returnForecast: ReturnForecast;
}

/** Refuses jobs, and advises their callers when to come back. */
export class Refusals {
  constructor(private readonly options: RefusalsOptions) {}

  /** Refuses a job for as long as there is no configuration. */
  refuseUnconfigured(job: string): Reply {
    this.report(job, 'no-configuration', null);
    return {type: 'refused', reason: 'no-configuration'};
  }

  refuse(job: JobRequest, queue: QueueConfig, reason: SubmitRefusal): Reply {
    const retryAfterS = this.adviseReturn(job, queue, reason);
    this.report(job.id, reason, retryAfterS);
    return {type: 'refused', reason, retryAfterS};
  }

  /** Gives up a job that may have run, so that a refusal would be false. */
  giveUp(job: JobRequest, queue: QueueConfig, reason: SubmitRefusal): Reply {
    const retryAfterS = this.adviseReturn(job, queue, reason);
    return {type: 'given-up', retryAfterS};
  }

  private adviseReturn(
    {steps}: JobRequest,
    queue: QueueConfig,
    reason: SubmitRefusal,
  ): number {
    const {objectiveMs} = computeExpectedTimes({steps}, queue);
    const {pool} = queue;
    return this.options.returnForecast.getRetryAfterS(
      {pool, steps, objectiveMs, reason},
      performance.now(),
    );
  }

  private report(
    job: string,
    reason: SubmitRefusal,
    retryAfterS: number | null,
  ): void {
    const {logger, metrics, jobTable} = this.options;
    const openJobs = jobTable.openCount;
    logger.warn('job-refused', {job, reason, openJobs, retryAfterS});
    metrics.increment('jobs.refused', 1, {reason});
  }
}
