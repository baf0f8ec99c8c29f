/** Deadlines of running jobs. */
import type {RunningJob} from './running_job.js';

/** Largest delay of a timer, about 24.8 days. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** One timer for each job that has a deadline. */
export class JobDeadlines {
  private readonly timers = new Map<string, NodeJS.Timeout>();

  constructor(private readonly onDeadline: (job: RunningJob) => void) {}

  arm(job: RunningJob): void {
    if (!Number.isFinite(job.deadlineAtMs)) return;
    const leftMs = Math.max(0, job.deadlineAtMs - Date.now());
    const timer = setTimeout(
      () => this.onDeadline(job),
      Math.min(leftMs, MAX_TIMER_MS),
    );
    this.timers.set(job.jobId, timer);
  }

  clear(jobId: string): void {
    clearTimeout(this.timers.get(jobId));
    this.timers.delete(jobId);
  }

  clearAll(): void {
    for (const timer of this.timers.values()) clearTimeout(timer);
    this.timers.clear();
  }
}
