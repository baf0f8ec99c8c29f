/** Runs that upstreams list and that this owner did not start. */
import type {Logger} from '@mustardferry/runtime';

import type {DispatchState} from '../jobs/dispatch_state.js';
import {getTaskKey} from '../jobs/job_types.js';
import type {ActiveRun} from '../upstreams/upstream_port.js';
import type {JobTable} from './job_table.js';
import type {OpenJob, OpenTask, Run} from './job_table_types.js';
import type {LingeringRuns} from './lingering_runs.js';
import {RunProgress} from './run_progress.js';
import type {UpstreamSession} from './upstream_session.js';

/** Options of the finder. */
export interface FoundRunsOptions {
  readonly jobTable: JobTable;
  readonly state: DispatchState;
  readonly lingering: LingeringRuns;
  readonly logger: Logger;
  /** Whether starts are allowed: from then on no run is left to find. */
  readonly isSettled: () => boolean;
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
export class FoundRuns {
  private readonly orphans = new Map<string, Orphan>();

  constructor(private readonly options: FoundRunsOptions) {}

  get orphanCount(): number {
    return this.orphans.size;
  }

  /** Takes a run that an upstream lists. */
  found(session: UpstreamSession, active: ActiveRun): void {
    const {jobTable, state, isSettled} = this.options;
    const key = getTaskKey(active.task);
    const task = jobTable.task(key);
    if (task?.phase === 'unknown' || task?.phase === 'ready') {
      this.adopt(task, session, active);
      return;
    }
    const known = this.orphans.get(key);
    if (known) {
      // Listed again: the stop may have been lost.
      if (known.stopping) void session.forbidRun(active);
      return;
    }
    const orphan = {session, active, stopping: false};
    this.orphans.set(key, orphan);
    const isKnown = task !== undefined || state.jobs.has(active.task.job);
    if (isKnown || isSettled()) this.stop(orphan);
  }

  /** Notes the end of a run, and frees the task that waited for it. */
  ended(key: string): void {
    if (!this.orphans.delete(key)) return;
    const {jobTable, lingering} = this.options;
    const task = jobTable.task(key);
    if (task?.phase === 'held' && !lingering.get(key)) jobTable.requeue(task);
  }

  /** Notes that nothing runs on an upstream any more. */
  endedAll(session: UpstreamSession): void {
    for (const [key, orphan] of [...this.orphans]) {
      if (orphan.session === session) this.ended(key);
    }
  }

  /** Adopts the runs of a job that was submitted again. */
  adoptFor(job: OpenJob): void {
    if (this.orphans.size === 0) return;
    for (const task of job.tasks.flat()) {
      const orphan = this.orphans.get(task.key);
      if (!orphan || task.phase !== 'ready') continue;
      if (orphan.stopping) {
        task.phase = 'held';
        task.lastRun = Math.max(task.lastRun, orphan.active.run);
        continue;
      }
      this.orphans.delete(task.key);
      this.adopt(task, orphan.session, orphan.active);
    }
  }

  /** Stops the runs whose jobs were not submitted again. */
  dropOrphans(): void {
    for (const orphan of this.orphans.values()) {
      if (!orphan.stopping) this.stop(orphan);
    }
  }

  private stop(orphan: Orphan): void {
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

  private adopt(
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
      ranMs: null,
    };
    task.lastRun = Math.max(task.lastRun, active.run);
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
