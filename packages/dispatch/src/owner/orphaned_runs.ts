/**
 * Orphaned runs: runs that an upstream lists and that this owner did not start.
 */
import type {Logger} from '@mustardferry/runtime';

import type {DispatchState} from '../jobs/dispatch_state.js';
import {getTaskKey} from '../jobs/job_types.js';
import type {ActiveRun, RunEnd} from '../upstreams/upstream_port.js';
import type {DiscardedRuns} from './discarded_runs.js';
import type {JobTable} from './job_table.js';
import type {OpenJob, OpenTask, Run} from './job_table_types.js';
import {RunProgress} from './run_progress.js';
import type {UpstreamSession} from './upstream_session.js';

export interface OrphanedRunsOptions {
  readonly jobTable: JobTable;
  readonly state: DispatchState;
  readonly discardedRuns: DiscardedRuns;
  readonly logger: Logger;
  /**
   * Whether the recovery from earlier owners is complete; runs that are listed
   * later are stopped at once.
   */
  readonly isRecoveryComplete: () => boolean;
}

interface Orphan {
  readonly session: UpstreamSession;
  readonly active: ActiveRun;
  /** Whether a stop was ordered; the run lasts until its end is listed. */
  stopping: boolean;
}

/**
 * Adopts the orphaned runs of recovered tasks. Those of unknown jobs are left
 * running for a while, as their callers may submit the jobs again.
 */
export class OrphanedRuns {
  /** By the key of the task, of which several runs may be listed. */
  private readonly orphans = new Map<string, Orphan[]>();

  constructor(private readonly options: OrphanedRunsOptions) {}

  get orphanCount(): number {
    return [...this.orphans.values()].flat().length;
  }

  /** Whether a run of the job is listed whose end is not. */
  hasRunsOf(job: string): boolean {
    return [...this.orphans.values()].some(
      ([orphan]) => orphan?.active.task.job === job,
    );
  }

  /** Whether an upstream lists a run that its session does not track. */
  hasRunsOn(session: UpstreamSession): boolean {
    return [...this.orphans.values()]
      .flat()
      .some(orphan => orphan.session === session);
  }

  /** Adopts, keeps or stops a run that its session does not track. */
  handleListedRun(session: UpstreamSession, active: ActiveRun): void {
    const {jobTable, state, isRecoveryComplete} = this.options;
    const key = getTaskKey(active.task);
    const task = jobTable.task(key);
    const listed = this.orphans.get(key) ?? [];
    const known = listed.find(orphan => isRun(orphan, session, active.run));
    if (task && canAdopt(task)) {
      if (known) this.remove(key, orphan => orphan === known);
      this.adoptRun(task, session, active);
      return;
    }
    if (known) {
      // The stop may have been lost, as the run is still listed.
      if (known.stopping) void session.forbidRun(active);
      return;
    }
    const orphan = {session, active, stopping: false};
    this.orphans.set(key, [...listed, orphan]);
    const isKnown = task !== undefined || state.jobs.has(active.task.job);
    if (isKnown || isRecoveryComplete()) this.stop(orphan);
  }

  /** Removes an orphaned run that has ended; see `remove`. */
  ended(session: UpstreamSession, {task, run}: RunEnd): void {
    this.remove(getTaskKey(task), orphan => isRun(orphan, session, run));
  }

  /**
   * Removes the orphaned runs of an upstream on which nothing runs any more.
   */
  removeSession(session: UpstreamSession): void {
    for (const key of [...this.orphans.keys()]) {
      this.remove(key, orphan => orphan.session === session);
    }
  }

  /**
   * Adopts the orphaned runs of a job that was submitted again. A task whose
   * run is already being stopped is held until that run ends. To be called
   * before any of its tasks may start.
   */
  adoptOrphansOf(job: OpenJob): void {
    if (this.orphans.size === 0) return;
    for (const task of job.tasks.flat()) {
      const listed = this.orphans.get(task.key);
      if (!listed || !canAdopt(task)) continue;
      const [only] = listed;
      if (only && listed.length === 1 && !only.stopping) {
        this.orphans.delete(task.key);
        this.adoptRun(task, only.session, only.active);
      } else {
        this.hold(task, listed);
      }
    }
  }

  /** Stops the orphaned runs whose jobs were not submitted again. */
  stopOrphans(): void {
    for (const orphan of [...this.orphans.values()].flat()) {
      if (!orphan.stopping) this.stop(orphan);
    }
  }

  /** Keeps a task from starting until its orphaned runs have ended. */
  private hold(task: OpenTask, listed: readonly Orphan[]): void {
    task.phase = 'held';
    for (const orphan of listed) {
      task.lastRunNumber = Math.max(task.lastRunNumber, orphan.active.run);
      if (!orphan.stopping) this.stop(orphan);
    }
  }

  /**
   * Removes orphaned runs of a task, and requeues the task if it waited for
   * them and none is left.
   */
  private remove(key: string, matches: (orphan: Orphan) => boolean): void {
    const listed = this.orphans.get(key);
    const left = listed?.filter(orphan => !matches(orphan));
    if (!listed || !left || left.length === listed.length) return;
    if (left.length > 0) {
      this.orphans.set(key, left);
      return;
    }
    this.orphans.delete(key);
    const {jobTable, discardedRuns} = this.options;
    const task = jobTable.task(key);
    if (task?.phase === 'held' && !discardedRuns.get(key))
      jobTable.requeue(task);
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

/**
 * Whether a task has no run here, and may have one that is listed. That also
 * holds for a blocked task: the steps that it depends on were done under the
 * earlier owner, and may have to run again under this one.
 */
function canAdopt({phase}: OpenTask): boolean {
  return phase === 'unknown' || phase === 'ready' || phase === 'blocked';
}

function isRun(
  {session, active}: Orphan,
  ofSession: UpstreamSession,
  run: number,
): boolean {
  return session === ofSession && active.run === run;
}
