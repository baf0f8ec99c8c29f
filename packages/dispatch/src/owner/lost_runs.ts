/** Handles runs that were lost or refused, or whose upstream restarted. */
import type {Logger, Metrics} from '@mustardferry/runtime';

import type {StartRefusal} from '../upstreams/upstream_port.js';
import type {JobTable} from './job_table.js';
import type {Run} from './job_table_types.js';
import type {TaskOutcomes} from './task_outcomes.js';
import type {UpstreamSession} from './upstream_session.js';

export interface LostRunsOptions {
  readonly jobTable: JobTable;
  readonly outcomes: TaskOutcomes;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly schedule: () => void;
}

/**
 * Pause in ms before an upstream that refused a task for lack of capacity is
 * offered more.
 */
const NO_ROOM_PAUSE_MS = 30;

/**
 * Pause in ms after other refusals, so that refusals don't repeat in a tight
 * loop.
 */
const REFUSAL_PAUSE_MS = 1;

/**
 * Time in ms for which a task avoids an upstream that has refused it, or was
 * not reached: a few starts on other upstreams.
 */
const REFUSAL_AVOIDANCE_MS = 250;

/**
 * Increment of a task's run number after an upstream refused the number as too
 * old.
 */
const RUN_NUMBER_STEP = 16;

/** Requeues the tasks of runs that were lost or refused. */
export class LostRuns {
  constructor(private readonly options: LostRunsOptions) {}

  /**
   * Handles a run that ended without an entry in the upstream's list of ends.
   */
  lost(run: Run, cause: string): void {
    const {jobTable, outcomes, logger, metrics, schedule} = this.options;
    const {task, session} = run;
    // The run may have begun; only a refusal proves that it has not.
    task.job.started = true;
    logger.warn('run-lost', {...createLogFields(run), cause});
    metrics.increment('runs.lost');
    outcomes.releaseHeldTask(run);
    if (task.run === run) {
      outcomes.avoidUpstream(task, session);
      jobTable.requeue(task);
    }
    schedule();
  }

  /**
   * Verifies a run of an ended incarnation on its successor, which may have
   * received the start order before this owner knew of it.
   */
  verifyOnSuccessor(run: Run, successor: UpstreamSession): void {
    const {outcomes} = this.options;
    const moved: Run = {...run, session: successor, phase: 'uncertain'};
    if (run.task.run === run) run.task.run = moved;
    void successor.verifyRun(moved);
    outcomes.replaceDiscardedRun(run, moved);
  }

  /** Handles a refused start: the run has not begun. */
  refused(run: Run, reason: StartRefusal | 'not-sent'): void {
    const {jobTable, outcomes, logger, metrics, schedule} = this.options;
    const {task, session} = run;
    logger.info('start-refused', {...createLogFields(run), reason});
    metrics.increment('starts.refused', 1, {reason});
    outcomes.releaseHeldTask(run);
    const isFull = reason === 'no-room';
    if (isFull) session.noRoomUntil = performance.now() + NO_ROOM_PAUSE_MS;
    if (reason === 'older-run') task.lastRunNumber += RUN_NUMBER_STEP;
    if (reason === 'unhealthy' || reason === 'not-sent') {
      outcomes.avoidUpstream(task, session, REFUSAL_AVOIDANCE_MS);
    }
    if (task.run === run) jobTable.requeue(task);
    setTimeout(schedule, isFull ? NO_ROOM_PAUSE_MS : REFUSAL_PAUSE_MS);
  }
}

function createLogFields({task, number, session}: Run) {
  return {
    job: task.id.job,
    task: task.key,
    run: number,
    upstream: session.record.id,
  };
}
