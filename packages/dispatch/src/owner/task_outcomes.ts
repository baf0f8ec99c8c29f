/** Applies the ends of runs to tasks, jobs and the statistics of upstreams. */
import type {OutlierEjection} from '@mustardferry/decisions';
import type {Logger, Metrics} from '@mustardferry/runtime';

import type {CountedRunEnd} from '../jobs/commands.js';
import type {DispatchState} from '../jobs/dispatch_state.js';
import {getTaskKey} from '../jobs/job_types.js';
import type {RunEnd} from '../upstreams/upstream_port.js';
import type {DiscardedRuns} from './discarded_runs.js';
import type {JobTable} from './job_table.js';
import type {OpenJob, OpenTask, Run} from './job_table_types.js';
import type {UpstreamSession} from './upstream_session.js';
import type {UpstreamSpeed} from './upstream_speed.js';

export interface TaskOutcomesOptions {
  readonly jobTable: JobTable;
  readonly state: DispatchState;
  readonly speed: UpstreamSpeed;
  readonly health: OutlierEjection;
  readonly discardedRuns: DiscardedRuns;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly remoteFactor: number;
  /** Called when a job that isn't replicated has ended. */
  readonly onTransientJobEnd: (
    job: string,
    state: 'completed' | 'failed',
  ) => void;
}

/**
 * Time in ms for which a task avoids an upstream on which a run of it failed,
 * was lost or slow. It ends, as no other upstream may suit the task.
 */
const AVOIDANCE_MS = 1_000;

/**
 * Applies ends of runs to the job table and closes the jobs that have ended.
 */
export class TaskOutcomes {
  constructor(private readonly options: TaskOutcomesOptions) {}

  /** Applies the end of a run whose task is in the job table. */
  applyEnd(session: UpstreamSession, end: RunEnd, task: OpenTask): void {
    const {discardedRuns, jobTable} = this.options;
    const earlier = discardedRuns.find(task.key, session.key, end.run);
    if (earlier) {
      this.releaseHeldTask(earlier, end.outcome === 'done');
      return;
    }
    const {run: current} = task;
    const isCurrent =
      current?.session === session && current.number === end.run;
    const run = isCurrent ? current : null;
    task.job.started = true;
    this.report(session, end, run);
    if (run) this.updateStatistics(session, end, run);
    if (end.outcome === 'done') this.done(task, run);
    else if (end.outcome === 'failed') this.failed(task, run, session);
    else if (run) jobTable.requeue(task);
    if (!task.job.admitted.durable) this.endTransientJob(task.job);
  }

  /**
   * Releases a task that is held for a run of an earlier submission of its job.
   */
  releaseHeldTask(run: Run, isDone = false): void {
    const {jobTable, discardedRuns} = this.options;
    if (!discardedRuns.remove(run)) return;
    const task = jobTable.task(run.task.key);
    if (task?.phase !== 'held') return;
    if (!isDone) return jobTable.requeue(task);
    jobTable.completeTask(task);
    if (!task.job.admitted.durable) this.endTransientJob(task.job);
  }

  /**
   * Replaces a discarded run by its copy on the session of the next
   * incarnation.
   */
  replaceDiscardedRun(run: Run, moved: Run): void {
    const {discardedRuns} = this.options;
    if (discardedRuns.remove(run)) discardedRuns.add(moved);
  }

  /** Closes the jobs that committed ends have completed or failed. */
  closeEndedJobs(counted: readonly CountedRunEnd[]): void {
    const {state, jobTable} = this.options;
    for (const id of new Set(counted.map(end => end.task.job))) {
      const record = state.jobs.get(id);
      const open = jobTable.job(id);
      if (!record || record.outcome === 'open' || !open) continue;
      this.reportJobEnd(open, record.outcome);
      this.stopRuns(jobTable.closeJob(id));
    }
  }

  /**
   * Closes a job that isn't replicated once it has failed or all its tasks are
   * done.
   */
  endTransientJob(job: OpenJob): void {
    if (job.closed) return;
    const {id} = job.admitted;
    if (!job.exhausted && job.remaining.some(count => count > 0)) return;
    const state = job.exhausted ? 'failed' : 'completed';
    this.reportJobEnd(job, state);
    this.stopRuns(this.options.jobTable.closeJob(id));
    this.options.onTransientJobEnd(id, state);
  }

  /**
   * Discards runs whose job is closed or whose task is done, and orders their
   * stop.
   */
  stopRuns(runs: readonly Run[]): void {
    for (const run of runs) {
      this.options.discardedRuns.add(run);
      void run.session.stop(run);
    }
  }

  /** Keeps further runs of a task off an upstream for a time in ms. */
  avoidUpstream(
    task: OpenTask,
    session: UpstreamSession,
    ms = AVOIDANCE_MS,
  ): void {
    const now = performance.now();
    const others = task.avoidedUpstreams.filter(
      ({key, until}) => key !== session.key && until > now,
    );
    task.avoidedUpstreams = [...others, {key: session.key, until: now + ms}];
  }

  private report(
    session: UpstreamSession,
    end: RunEnd,
    current: Run | null,
  ): void {
    const {outcome, run, task} = end;
    this.options.metrics.increment('runs.ended', 1, {outcome});
    if (outcome === 'done') return;
    this.options.logger.info('run-ended', {
      job: task.job,
      task: getTaskKey(task),
      run,
      upstream: session.record.id,
      outcome,
      runMs: current ? Math.round(getRunMs(current)) : 0,
    });
  }

  private updateStatistics(
    session: UpstreamSession,
    {outcome}: RunEnd,
    run: Run,
  ): void {
    if (outcome !== 'done' && outcome !== 'failed') return;
    const {speed, health, logger, remoteFactor} = this.options;
    const {task, measuredRunMs} = run;
    const {step} = task;
    const {labels, id} = session.record;
    const isLocal = step.dataRack === '' || labels.includes(step.dataRack);
    const declaredMs = step.declaredMs * (isLocal ? 1 : remoteFactor);
    const now = performance.now();
    const expectedMs = declaredMs * speed.getTimeFactor(session.key, now);
    const ok = outcome === 'done';
    if (ok && measuredRunMs !== null) {
      speed.observe(session.key, measuredRunMs, declaredMs, now);
    }
    const runMs = getRunMs(run);
    const changes = health.record(
      {
        upstream: session.key,
        taskId: task.key,
        ok,
        runMs,
        expectedMs,
        startedAtMs: run.startedAt,
      },
      now,
    );
    for (const {state, reason} of changes) {
      logger.warn('upstream-ejection', {upstream: id, state, reason});
    }
  }

  private done(task: OpenTask, run: Run | null): void {
    const other = task.run;
    if (other && other !== run) this.stopRuns([other]);
    this.options.jobTable.completeTask(task);
  }

  private failed(
    task: OpenTask,
    run: Run | null,
    session: UpstreamSession,
  ): void {
    const {job} = task;
    task.failures++;
    job.exhausted ||= task.failures >= job.admitted.maxAttempts;
    this.avoidUpstream(task, session);
    if (!run) return;
    if (task.failures < job.admitted.maxAttempts) {
      this.options.jobTable.requeue(task);
      return;
    }
    task.run = null;
    task.phase = 'ended';
  }

  private reportJobEnd(job: OpenJob, outcome: string): void {
    const tookMs = performance.now() - job.receivedAt;
    this.options.logger.info('job-ended', {
      job: job.admitted.id,
      queue: job.queue.name,
      outcome,
      tookMs: Math.round(tookMs),
      objectiveMs: Math.round(job.objectiveMs),
    });
    this.options.metrics.timing('jobs.took', tookMs, {outcome});
  }
}

/**
 * Measured run time in ms; the time since the start order if that is unknown.
 */
function getRunMs({measuredRunMs: measuredRunMs, startedAt}: Run): number {
  return measuredRunMs ?? performance.now() - startedAt;
}
