/** Runs that are being stopped because their result is not needed any more. */
import type {Run} from './job_table_types.js';

/**
 * Holds the discarded run of each task until it ends. A closed job may be
 * submitted again before that; its tasks wait for these runs, so that no task
 * runs twice at a time.
 */
export class DiscardedRuns {
  private readonly byTask = new Map<string, Run>();

  add(run: Run): void {
    if (run.session.runs.has(run)) this.byTask.set(run.task.key, run);
  }

  /** Returns the run that a task has to wait for. */
  get(task: string): Run | undefined {
    return this.byTask.get(task);
  }

  /** Removes a run that has ended; returns whether it was a discarded one. */
  remove(run: Run): boolean {
    if (this.byTask.get(run.task.key) !== run) return false;
    return this.byTask.delete(run.task.key);
  }

  /**
   * Returns the discarded run with a number on an upstream, if there is one.
   */
  find(task: string, upstream: string, number: number): Run | undefined {
    const run = this.byTask.get(task);
    const matches = run?.session.key === upstream && run.number === number;
    return matches ? run : undefined;
  }
}
