/** Keeps credits, charges and expected ends of running attempts. */
import type {SharingPolicy} from '@mustardferry/decisions';

import type {UpstreamPool} from '../upstreams/upstream_pool.js';
import type {JobProgress} from './job_progress.js';
import type {RunningAttempt, TaskEntry} from './task_entry.js';

/** Bookkeeping of slot credits. */
export interface CreditUse {
  use(worker: string): void;
  free(worker: string): void;
}

/** Options of the book. */
export interface AttemptLedgerOptions {
  readonly pool: UpstreamPool;
  readonly sharing: SharingPolicy;
  readonly credits: CreditUse;
  readonly progress: JobProgress;
}

/** What a running attempt occupies, taken and given back together. */
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

  /** Notes an attempt of an earlier owner, which keeps its upstream's link. */
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
