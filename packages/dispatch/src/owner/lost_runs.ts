/** Runs that did not begin, or ended without a result. */
import type {Logger, Metrics} from '@mustardferry/runtime';

import type {StartRefusal} from '../upstreams/upstream_port.js';
import type {JobTable} from './job_table.js';
import type {Run} from './job_table_types.js';
import type {TaskOutcomes} from './task_outcomes.js';
import type {UpstreamSession} from './upstream_session.js';

/** Options. */
export interface LostRunsOptions {
  readonly jobTable: JobTable;
  readonly outcomes: TaskOutcomes;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly schedule: () => void;
}

/** Pause in ms before an upstream that refused for room is offered more. */
const FULL_PAUSE_MS = 30;

/** Pause in ms after other refusals, so that they don't follow each other. */
const REFUSED_PAUSE_MS = 1;

/** Step of the run number after a refusal as too old. */
const RUN_NUMBER_STEP = 16;

/** Queues the tasks of such runs again. */
export class LostRuns {
  constructor(private readonly options: LostRunsOptions) {}

  /** A run ended without an entry in the list of ends. */
  lost(run: Run, cause: string): void {
    const {jobTable, outcomes, logger, metrics, schedule} = this.options;
    const {task, session} = run;
    // Only a refusal proves that a run has not begun.
    task.job.started = true;
    logger.warn('run-lost', {...describe(run), cause});
    metrics.increment('runs.lost');
    outcomes.release(run);
    if (task.run === run) {
      outcomes.avoid(task, session);
      jobTable.requeue(task);
    }
    schedule();
  }

  /**
   * A run of a life that has ended: its start may have reached the next life
   * before that one was known here.
   */
  follow(run: Run, successor: UpstreamSession): void {
    const {outcomes} = this.options;
    const moved: Run = {...run, session: successor, phase: 'uncertain'};
    if (run.task.run === run) run.task.run = moved;
    void successor.verifyRun(moved);
    outcomes.moveLingering(run, moved);
  }

  /** A start was refused, so that the run has not begun. */
  refused(run: Run, reason: StartRefusal | 'not-sent'): void {
    const {jobTable, outcomes, logger, metrics, schedule} = this.options;
    const {task, session} = run;
    logger.info('start-refused', {...describe(run), reason});
    metrics.increment('starts.refused', 1, {reason});
    outcomes.release(run);
    const isFull = reason === 'no-room';
    if (isFull) session.noRoomUntil = performance.now() + FULL_PAUSE_MS;
    if (reason === 'older-run') task.lastRun += RUN_NUMBER_STEP;
    if (reason === 'unhealthy' || reason === 'not-sent') {
      outcomes.avoid(task, session);
    }
    if (task.run === run) jobTable.requeue(task);
    setTimeout(schedule, isFull ? FULL_PAUSE_MS : REFUSED_PAUSE_MS);
  }
}

function describe({task, number, session}: Run) {
  return {
    job: task.id.job,
    task: task.key,
    run: number,
    upstream: session.record.id,
  };
}
