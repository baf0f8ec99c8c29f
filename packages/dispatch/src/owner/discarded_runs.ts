/** Runs of jobs that were closed before their runs had ended. */
import type {Run} from './job_table_types.js';

/**
 * A job may be submitted again while runs of its earlier life are being
 * stopped; its tasks wait for them, so that no task runs twice at a time.
 */
export class DiscardedRuns {
  private readonly byTask = new Map<string, Run>();

  add(run: Run): void {
    if (run.session.runs.has(run)) this.byTask.set(run.task.key, run);
  }

  /** The run that a task has to wait for. */
  get(task: string): Run | undefined {
    return this.byTask.get(task);
  }

  /** Notes that a run is over; returns whether it was one of these. */
  remove(run: Run): boolean {
    if (this.byTask.get(run.task.key) !== run) return false;
    return this.byTask.delete(run.task.key);
  }

  /** The run with a number on an upstream, if it is one of these. */
  find(task: string, upstream: string, number: number): Run | undefined {
    const run = this.byTask.get(task);
    const matches = run?.session.key === upstream && run.number === number;
    return matches ? run : undefined;
  }
}
