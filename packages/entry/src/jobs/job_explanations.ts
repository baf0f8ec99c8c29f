/** Explanations of running and recently answered jobs. */
import type {ExplainStep} from '@mustardferry/model';

import type {RunningJob} from './running_job.js';
import type {AdmissionVerdict} from './task_scheduler.js';

/** Jobs whose steps are kept; the oldest are dropped first. */
const DEFAULT_MAX_JOBS = 5_000;

/** Adds a step about the whole job. */
export function addJobStep(
  job: RunningJob,
  step: ExplainStep['step'],
  reason: string,
): void {
  job.explain({atMs: Date.now(), taskId: '', step, reason, detail: ''});
}

/** Bounded memory of explain steps by job id. */
export class JobExplanations {
  private readonly steps = new Map<string, readonly ExplainStep[]>();

  constructor(private readonly capacity = DEFAULT_MAX_JOBS) {}

  getSteps(jobId: string): readonly ExplainStep[] | undefined {
    return this.steps.get(jobId);
  }

  storeSteps(jobId: string, steps: readonly ExplainStep[]): void {
    this.steps.delete(jobId);
    this.steps.set(jobId, steps);
    if (this.steps.size <= this.capacity) return;
    const [oldest] = this.steps.keys();
    if (oldest !== undefined) this.steps.delete(oldest);
  }

  /** Keeps why a job was refused; it has no record that could tell. */
  storeRefusal(jobId: string, verdict: AdmissionVerdict | undefined): void {
    if (verdict === undefined) return;
    const {reason, answer, problem} = verdict;
    this.storeSteps(jobId, [
      {
        atMs: Date.now(),
        taskId: '',
        step: 'refused',
        reason,
        detail: problem?.detail ?? '',
        ...(answer === undefined ? {} : {answer}),
      },
    ]);
  }
}
