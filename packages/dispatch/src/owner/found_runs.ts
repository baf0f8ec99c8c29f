/** Runs that upstreams list and that this owner did not start. */
import type {Logger} from '@mustardferry/runtime';

import type {DispatchState} from '../jobs/dispatch_state.js';
import {taskKey} from '../jobs/job_types.js';
import type {ActiveRun} from '../upstreams/upstream_port.js';
import type {BoardJob, BoardTask, Run} from './board_types.js';
import type {TaskBoard} from './task_board.js';
import type {UpstreamSession} from './upstream_session.js';

/** Options of the finder. */
export interface FoundRunsOptions {
  readonly board: TaskBoard;
  readonly state: DispatchState;
  readonly logger: Logger;
  /** Whether starts are allowed: from then on no run is left to find. */
  readonly isSettled: () => boolean;
}

interface Orphan {
  readonly session: UpstreamSession;
  readonly active: ActiveRun;
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
    const {board, state, isSettled} = this.options;
    const key = taskKey(active.task);
    const task = board.task(key);
    if (task?.phase === 'unknown') {
      this.adopt(task, session, active);
      return;
    }
    const isKnown = task !== undefined || state.jobs.has(active.task.job);
    if (!isKnown && !isSettled()) this.orphans.set(key, {session, active});
    else if (!this.orphans.has(key)) this.stop(session, active);
  }

  /** Notes the end of a run. */
  ended(task: string): void {
    this.orphans.delete(task);
  }

  /** Adopts the runs of a job that was submitted again. */
  adoptFor(job: BoardJob): void {
    if (this.orphans.size === 0) return;
    for (const task of job.tasks.flat()) {
      const orphan = this.orphans.get(task.key);
      if (!orphan || task.phase !== 'ready') continue;
      this.orphans.delete(task.key);
      this.adopt(task, orphan.session, orphan.active);
    }
  }

  /** Stops the runs whose jobs were not submitted again. */
  dropOrphans(): void {
    for (const [key, {session, active}] of this.orphans) {
      this.orphans.delete(key);
      this.stop(session, active);
    }
  }

  private stop(session: UpstreamSession, active: ActiveRun): void {
    this.options.logger.warn('stray-run-stopped', {
      job: active.task.job,
      task: taskKey(active.task),
      run: active.run,
      upstream: session.record.id,
    });
    void session.forbid(active);
  }

  private adopt(
    task: BoardTask,
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
      percent: active.percent,
    };
    task.lastRun = Math.max(task.lastRun, active.run);
    task.run = run;
    task.phase = 'active';
    task.job.started = true;
    session.adopt(run);
    this.options.logger.info('run-adopted', {
      job: task.id.job,
      task: task.key,
      run: active.run,
      upstream: session.record.id,
    });
  }
}
