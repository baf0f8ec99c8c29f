/** Enforces the deadlines of running jobs. */
import type {RunningJob} from './running_job.js';

/** Maximum delay of a Node.js timer, about 24.8 days. */
const MAX_TIMER_DELAY_MS = 2 ** 31 - 1;

/** Keeps one timer per job with a deadline. */
export class JobDeadlines {
  private readonly timers = new Map<string, NodeJS.Timeout>();

  constructor(private readonly onDeadline: (job: RunningJob) => void) {}

  startTimer(job: RunningJob): void {
    if (!Number.isFinite(job.deadlineAtMs)) return;
    const leftMs = Math.max(0, job.deadlineAtMs - Date.now());
    const timer =
      leftMs > MAX_TIMER_DELAY_MS
        ? setTimeout(() => this.startTimer(job), MAX_TIMER_DELAY_MS)
        : setTimeout(() => this.onDeadline(job), leftMs);
    clearTimeout(this.timers.get(job.jobId));
    this.timers.set(job.jobId, timer);
  }

  clearTimer(jobId: string): void {
    clearTimeout(this.timers.get(jobId));
    this.timers.delete(jobId);
  }

  clearAllTimers(): void {
    for (const timer of this.timers.values()) clearTimeout(timer);
    this.timers.clear();
  }
}
