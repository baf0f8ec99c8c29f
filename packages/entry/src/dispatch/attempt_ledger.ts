/** Accounts for the resources that running attempts occupy. */
import type {SharingPolicy} from '@mustardferry/decisions';

import type {UpstreamPool} from '../upstreams/upstream_pool.js';
import type {JobProgress} from './job_progress.js';
import type {RunningAttempt, TaskEntry} from './task_entry.js';

/** Marks slot credits of upstreams as used or free. */
export interface CreditUse {
  use(worker: string): void;
  free(worker: string): void;
}

/** Options of {@link AttemptLedger}. */
export interface AttemptLedgerOptions {
  readonly pool: UpstreamPool;
  readonly sharing: SharingPolicy;
  readonly credits: CreditUse;
  readonly progress: JobProgress;
}

/**
 * Acquires and releases everything that a running attempt occupies in one step:
 * the place at its upstream, the slot credit, the charge to the team and the
 * expected end of its job.
 */
export class AttemptLedger {
  constructor(private readonly options: AttemptLedgerOptions) {}

  chargeAttempt(entry: TaskEntry, attempt: RunningAttempt): void {
    const {pool, sharing, credits, progress} = this.options;
    const {upstream, chargeId, startedAtMs} = attempt;
    const endsAtMs = startedAtMs + attempt.expectedRunMs;
    const {resources, jobId} = entry.queued;
    entry.running.set(attempt.attempt, attempt);
    pool.candidates.started(upstream, chargeId, resources);
    credits.use(upstream);
    sharing.charge({...entry.queued, taskId: chargeId}, startedAtMs);
    progress.started(jobId, this.getRack(upstream), endsAtMs);
  }

  /**
   * Counts an attempt of an earlier owner at its upstream, so that the link to
   * the upstream stays open. It uses no credit and no charge of this instance.
   */
  trackResumedAttempt(entry: TaskEntry, attempt: RunningAttempt): void {
    const {upstream, chargeId} = attempt;
    entry.running.set(attempt.attempt, attempt);
    const {candidates} = this.options.pool;
    candidates.started(upstream, chargeId, entry.queued.resources);
  }

  releaseAttempt(entry: TaskEntry, attempt: RunningAttempt, now: number): void {
    const {pool, sharing, credits, progress} = this.options;
    const {upstream, chargeId} = attempt;
    entry.running.delete(attempt.attempt);
    pool.candidates.ended(upstream, chargeId);
    pool.removeIfIdle(upstream);
    if (attempt.resumed === true) return;
    credits.free(upstream);
    sharing.release(chargeId, now);
    progress.ended(entry.queued.jobId, this.getRack(upstream));
  }

  private getRack(upstream: string): string {
    return this.options.pool.announcement(upstream)?.rack ?? '';
  }
}
