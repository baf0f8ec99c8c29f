/** Runs that upstreams list and that this owner did not start. */
import type {Logger} from '@mustardferry/runtime';

import type {DispatchState} from '../jobs/dispatch_state.js';
import {getTaskKey} from '../jobs/job_types.js';
import type {ActiveRun} from '../upstreams/upstream_port.js';
import type {DiscardedRuns} from './discarded_runs.js';
import type {JobTable} from './job_table.js';
import type {OpenJob, OpenTask, Run} from './job_table_types.js';
import {RunProgress} from './run_progress.js';
import type {UpstreamSession} from './upstream_session.js';

/** Options of the finder. */
export interface OrphanedRunsOptions {
  readonly jobTable: JobTable;
  readonly state: DispatchState;
  readonly discardedRuns: DiscardedRuns;
  readonly logger: Logger;
  /** Whether starts are allowed: from then on no run is left to find. */
  readonly isRecoveryComplete: () => boolean;
}

interface Orphan {
  readonly session: UpstreamSession;
  readonly active: ActiveRun;
  /** Whether its stop was ordered; it runs until its end is listed. */
  stopping: boolean;
}

/**
 * Adopts the runs of tasks that an earlier owner started. Runs of unknown jobs
 * are kept for a while: their callers may submit the jobs again.
 */
export class OrphanedRuns {
  private readonly orphansByTask = new Map<string, Orphan>();

  constructor(private readonly options: OrphanedRunsOptions) {}

  get orphanCount(): number {
    return this.orphansByTask.size;
  }

  /** Takes a run that an upstream lists. */
  handleListedRun(session: UpstreamSession, active: ActiveRun): void {
    const {jobTable, state, isRecoveryComplete: isSettled} = this.options;
    const key = getTaskKey(active.task);
    const task = jobTable.task(key);
    if (task?.phase === 'unknown' || task?.phase === 'ready') {
      this.adoptRun(task, session, active);
      return;
    }
    const known = this.orphansByTask.get(key);
    if (known) {
      // Listed again: the stop may have been lost.
      if (known.stopping) void session.forbidRun(active);
      return;
    }
    const orphan = {session, active, stopping: false};
    this.orphansByTask.set(key, orphan);
    const isKnown = task !== undefined || state.jobs.has(active.task.job);
    if (isKnown || isSettled()) this.stopOrphan(orphan);
  }

  /** Notes the end of a run, and frees the task that waited for it. */
  ended(key: string): void {
    if (!this.orphansByTask.delete(key)) return;
    const {jobTable, discardedRuns} = this.options;
    const task = jobTable.task(key);
    if (task?.phase === 'held' && !discardedRuns.get(key))
      jobTable.requeue(task);
  }

  /** Notes that nothing runs on an upstream any more. */
  removeSession(session: UpstreamSession): void {
    for (const [key, orphan] of [...this.orphansByTask]) {
      if (orphan.session === session) this.ended(key);
    }
  }

  /** Adopts the runs of a job that was submitted again. */
  adoptOrphansOf(job: OpenJob): void {
    if (this.orphansByTask.size === 0) return;
    for (const task of job.tasks.flat()) {
      const orphan = this.orphansByTask.get(task.key);
      if (!orphan || task.phase !== 'ready') continue;
      if (orphan.stopping) {
        task.phase = 'held';
        task.lastRunNumber = Math.max(task.lastRunNumber, orphan.active.run);
        continue;
      }
      this.orphansByTask.delete(task.key);
      this.adoptRun(task, orphan.session, orphan.active);
    }
  }

  /** Stops the runs whose jobs were not submitted again. */
  stopOrphans(): void {
    for (const orphan of this.orphansByTask.values()) {
      if (!orphan.stopping) this.stopOrphan(orphan);
    }
  }

  private stopOrphan(orphan: Orphan): void {
    const {session, active} = orphan;
    orphan.stopping = true;
    this.options.logger.warn('stray-run-stopped', {
      job: active.task.job,
      task: getTaskKey(active.task),
      run: active.run,
      upstream: session.record.id,
    });
    void session.forbidRun(active);
  }

  private adoptRun(
    task: OpenTask,
    session: UpstreamSession,
    active: ActiveRun,
  ): void {
    const now = performance.now();
    const run: Run = {
      task,
      number: active.run,
      session,
      startedAt: now,
      phase: 'running',
      confirmedAt: now,
      stopAckedAt: Infinity,
      progress: new RunProgress(),
      measuredRunMs: null,
    };
    task.lastRunNumber = Math.max(task.lastRunNumber, active.run);
    task.run = run;
    task.phase = 'active';
    task.job.started = true;
    session.adoptRun(run);
    this.options.logger.info('run-adopted', {
      job: task.id.job,
      task: task.key,
      run: active.run,
      upstream: session.record.id,
    });
  }
}
