/** Finds the queued tasks of a job, so that a cancellation needs no scan. */
import type {QueueEntry} from './kind_queue.js';

/** Queued entries by job id. */
export class JobIndex {
  private readonly jobs = new Map<string, Set<QueueEntry>>();

  add(entry: QueueEntry): void {
    const entries = this.jobs.get(entry.task.jobId);
    if (entries) entries.add(entry);
    else this.jobs.set(entry.task.jobId, new Set([entry]));
  }

  remove(entry: QueueEntry): void {
    const entries = this.jobs.get(entry.task.jobId);
    entries?.delete(entry);
    if (entries?.size === 0) this.jobs.delete(entry.task.jobId);
  }

  /** Removes and returns all entries of a job. */
  removeJob(jobId: string): readonly QueueEntry[] {
    const entries = this.jobs.get(jobId);
    this.jobs.delete(jobId);
    return entries ? [...entries] : [];
  }
}
