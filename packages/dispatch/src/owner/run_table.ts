/** Runs that are on one upstream, as far as the owner knows. */
import {getTaskKey, type TaskId} from '../jobs/job_types.js';
import type {
  ActiveRun,
  HeldAnswer,
  RunEnd,
} from '../upstreams/upstream_port.js';
import type {UpstreamRecord} from '../upstreams/upstream_types.js';
import {CapacityUse} from './capacity_use.js';
import type {Run} from './job_table_types.js';

/** Differences between an upstream's list of active runs and the table. */
export interface RunComparison {
  /** Listed runs whose start order has had no answer yet. */
  readonly confirmed: readonly Run[];
  /** Listed runs that are not in the table. */
  readonly untracked: readonly ActiveRun[];
  /** Runs that ended without an entry in the list of ends. */
  readonly absent: readonly {readonly run: Run; readonly cause: string}[];
}

/** Holds at most one run per task and tracks the capacity that runs use. */
export class RunTable {
  readonly capacityUse: CapacityUse;
  private readonly runs = new Map<string, Run>();
  /** Upstream clock reading of the newest list of ends. */
  private latestListClockMs = Number.NEGATIVE_INFINITY;

  constructor(record: UpstreamRecord) {
    this.capacityUse = new CapacityUse(record);
  }

  get size(): number {
    return this.runs.size;
  }

  get all(): readonly Run[] {
    return [...this.runs.values()];
  }

  /** Number of runs of the tasks of one step. */
  countRunsOfStep({job, step}: TaskId): number {
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
    this.capacityUse.add(run.task.step);
  }

  remove(run: Run): void {
    if (!this.has(run)) return;
    this.runs.delete(run.task.key);
    this.capacityUse.remove(run.task.step);
  }

  /**
   * Marks a run as started by the upstream.
   *
   * @param clockMs Upstream clock reading at the start, if known.
   */
  confirmRun(run: Run, clockMs?: number): void {
    if (clockMs !== undefined) run.progress.recordStart(clockMs);
    run.phase = 'running';
    run.confirmedAt = performance.now();
    run.task.job.started = true;
  }

  /**
   * Whether lists newer than those of an answer were already applied, as
   * answers can arrive out of order. The ends of an outdated answer are also in
   * the newer list, or a later one lists them again.
   */
  isOutdated(answer: HeldAnswer): boolean {
    // Without startedAt, an incarnation with a new clock may have answered.
    const isSameIncarnation = answer.startedAt !== undefined;
    return isSameIncarnation && answer.clockMs < this.latestListClockMs;
  }

  /**
   * Removes runs whose ends are listed.
   *
   * @param clockMs Upstream clock reading of the list.
   */
  applyEnds(ends: readonly RunEnd[], clockMs: number): void {
    for (const end of ends) {
      const run = this.runs.get(getTaskKey(end.task));
      if (run?.number !== end.run) continue;
      run.measuredRunMs = run.progress.measureRunMs(
        clockMs,
        this.latestListClockMs,
      );
      this.remove(run);
    }
    this.latestListClockMs = clockMs;
  }

  /**
   * Compares the table with the active runs that the upstream lists.
   *
   * @param answer The list. While it leaves out ends, no run counts as absent,
   *     as its end may be one of those.
   * @param sentAt When the list was requested; runs confirmed later may be
   *     missing from it.
   */
  compareWithActive(
    {active, clockMs, moreEnds}: HeldAnswer,
    sentAt: number,
  ): RunComparison {
    const listed = new Set<Run>();
    const confirmed: Run[] = [];
    const untracked: ActiveRun[] = [];
    for (const each of active) {
      const run = this.runs.get(getTaskKey(each.task));
      if (run?.number !== each.run) {
        untracked.push(each);
        continue;
      }
      listed.add(run);
      run.progress.recordReport(each.percent, clockMs);
      if (run.phase === 'starting' || run.phase === 'uncertain') {
        confirmed.push(run);
      }
    }
    if (moreEnds) return {confirmed, untracked, absent: []};
    const missing = this.all.filter(run => !listed.has(run));
    const absent = missing.flatMap(run => {
      const cause = findAbsenceCause(run, sentAt);
      return cause === null ? [] : [{run, cause}];
    });
    return {confirmed, untracked, absent};
  }
}

function findAbsenceCause(run: Run, sentAt: number): string | null {
  if (run.phase === 'running' && run.confirmedAt < sentAt) {
    return 'not listed by the upstream';
  }
  if (run.phase === 'stopping' && run.stopAckedAt <= sentAt) {
    return 'stopped before it began';
  }
  return null;
}
