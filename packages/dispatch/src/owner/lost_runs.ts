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
const NO_ROOM_PAUSE_MS = 30;

/** Pause in ms after other refusals, so that they don't follow each other. */
const REFUSAL_PAUSE_MS = 1;

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
    logger.warn('run-lost', {...logFieldsOf(run), cause});
    metrics.increment('runs.lost');
    outcomes.releaseHeldTask(run);
    if (task.run === run) {
      outcomes.avoidUpstream(task, session);
      jobTable.requeue(task);
    }
    schedule();
  }

  /**
   * A run of a life that has ended: its start may have reached the next life
   * before that one was known here.
   */
  verifyOnSuccessor(run: Run, successor: UpstreamSession): void {
    const {outcomes} = this.options;
    const moved: Run = {...run, session: successor, phase: 'uncertain'};
    if (run.task.run === run) run.task.run = moved;
    void successor.verifyRun(moved);
    outcomes.replaceDiscardedRun(run, moved);
  }

  /** A start was refused, so that the run has not begun. */
  refused(run: Run, reason: StartRefusal | 'not-sent'): void {
    const {jobTable, outcomes, logger, metrics, schedule} = this.options;
    const {task, session} = run;
    logger.info('start-refused', {...logFieldsOf(run), reason});
    metrics.increment('starts.refused', 1, {reason});
    outcomes.releaseHeldTask(run);
    const isFull = reason === 'no-room';
    if (isFull) session.noRoomUntil = performance.now() + NO_ROOM_PAUSE_MS;
    if (reason === 'older-run') task.lastRunNumber += RUN_NUMBER_STEP;
    if (reason === 'unhealthy' || reason === 'not-sent') {
      outcomes.avoidUpstream(task, session);
    }
    if (task.run === run) jobTable.requeue(task);
    setTimeout(schedule, isFull ? NO_ROOM_PAUSE_MS : REFUSAL_PAUSE_MS);
  }
}

function logFieldsOf({task, number, session}: Run) {
  return {
    job: task.id.job,
    task: task.key,
    run: number,
    upstream: session.record.id,
  };
}
