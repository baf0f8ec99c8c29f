/** Keeps the explanations of recently answered and refused jobs. */
import type {ExplainStep} from '@mustardferry/model';

import type {RunningJob} from './running_job.js';
import type {AdmissionVerdict} from './task_scheduler.js';

/** Number of jobs whose steps are kept. */
const DEFAULT_MAX_JOBS = 5_000;

/** Adds an explanation step that concerns the whole job. */
export function addJobStep(
  job: RunningJob,
  step: ExplainStep['step'],
  reason: string,
): void {
  job.explain({atMs: Date.now(), taskId: '', step, reason, detail: ''});
}

/** Bounded store of explanation steps by job id. The oldest job is dropped first. */
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

  /** Stores why a job was refused, since a refused job has no record. */
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
