/** Runs that the owner believes to be on one upstream. */
import {getTaskKey, type TaskId} from '../jobs/job_types.js';
import type {
  ActiveRun,
  HoldAnswer,
  RunEnd,
} from '../upstreams/upstream_port.js';
import type {UpstreamRecord} from '../upstreams/upstream_types.js';
import type {Run} from './board_types.js';
import {CapacityUse} from './capacity_use.js';

/** What a list of active runs tells against the table. */
export interface RunComparison {
  /** Runs whose start had no answer yet. */
  readonly begun: readonly Run[];
  /** Listed runs that the table doesn't hold. */
  readonly found: readonly ActiveRun[];
  /** Runs that have ended without an entry in the list of ends. */
  readonly gone: readonly {readonly run: Run; readonly cause: string}[];
}

/** Holds at most one run of a task; counts the capacity that runs take. */
export class RunTable {
  readonly use: CapacityUse;
  private readonly runs = new Map<string, Run>();
  /** Reading of the upstream's clock with its newest list of ends. */
  private listedAtMs = Number.NEGATIVE_INFINITY;

  constructor(record: UpstreamRecord) {
    this.use = new CapacityUse(record);
  }

  get size(): number {
    return this.runs.size;
  }

  get all(): readonly Run[] {
    return [...this.runs.values()];
  }

  /** Runs of tasks of one step. */
  countOfStep({job, step}: TaskId): number {
    let count = 0;
    for (const {task} of this.runs.values()) {
      if (task.id.job === job && task.id.step === step) count++;
    }
    return count;
  }

  get(task: string): Run | undefined {
    return this.runs.get(task);
  }

  has(run: Run): boolean {
    return this.runs.get(run.task.key) === run;
  }

  add(run: Run): void {
    this.runs.set(run.task.key, run);
    this.use.add(run.task.step);
  }

  remove(run: Run): void {
    if (!this.has(run)) return;
    this.runs.delete(run.task.key);
    this.use.remove(run.task.step);
  }

  /**
   * Notes that the upstream has begun a run.
   *
   * @param clockMs Reading of its clock then, if that is known.
   */
  confirm(run: Run, clockMs?: number): void {
    if (clockMs !== undefined) run.progress.begin(clockMs);
    run.phase = 'running';
    run.confirmedAt = performance.now();
    run.task.job.started = true;
  }

  /**
   * Whether newer lists than those of an answer were taken, as answers may
   * overtake each other. Its ends are in the newer list, or come again.
   */
  isOutdated(answer: Extract<HoldAnswer, {type: 'held'}>): boolean {
    // Another life, whose clock began anew, is not always told.
    const isSameLife = answer.startedAt !== undefined;
    return isSameLife && answer.clockMs < this.listedAtMs;
  }

  /**
   * Removes runs whose ends are listed.
   *
   * @param clockMs Reading of the upstream's clock with the list.
   */
  takeEnds(ends: readonly RunEnd[], clockMs: number): void {
    for (const end of ends) {
      const run = this.runs.get(getTaskKey(end.task));
      if (run?.number !== end.run) continue;
      run.ranMs = run.progress.runMsOf(clockMs, this.listedAtMs);
      this.remove(run);
    }
    this.listedAtMs = clockMs;
  }

  /**
   * Compares with the runs that the upstream lists.
   *
   * @param sentAt When the list was asked for; runs confirmed later may be
   *     missing from it.
   * @param clockMs Reading of the upstream's clock with the list.
   */
  compare(
    active: readonly ActiveRun[],
    sentAt: number,
    clockMs: number,
  ): RunComparison {
    const listed = new Set<Run>();
    const begun: Run[] = [];
    const found: ActiveRun[] = [];
    for (const each of active) {
      const run = this.runs.get(getTaskKey(each.task));
      if (run?.number !== each.run) {
        found.push(each);
        continue;
      }
      listed.add(run);
      run.progress.observe(each.percent, clockMs);
      if (run.phase === 'starting' || run.phase === 'uncertain') {
        begun.push(run);
      }
    }
    const missing = this.all.filter(run => !listed.has(run));
    const gone = missing.flatMap(run => {
      const cause = causeOfAbsence(run, sentAt);
      return cause === null ? [] : [{run, cause}];
    });
    return {begun, found, gone};
  }
}

function causeOfAbsence(run: Run, sentAt: number): string | null {
  if (run.phase === 'running' && run.confirmedAt < sentAt) {
    return 'not listed by the upstream';
  }
  if (run.phase === 'stopping' && run.stopAckedAt <= sentAt) {
    return 'stopped before it began';
  }
  return null;
}
