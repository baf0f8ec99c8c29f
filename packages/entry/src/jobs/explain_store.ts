/** Explanations of jobs that were answered recently. */
import type {ExplainStep} from '@mustardferry/model';

/** Jobs whose steps are kept; the oldest are dropped first. */
const DEFAULT_CAPACITY = 5_000;

/** Bounded memory of explain steps by job id. */
export class ExplainStore {
  private readonly steps = new Map<string, readonly ExplainStep[]>();

  constructor(private readonly capacity = DEFAULT_CAPACITY) {}

  get(jobId: string): readonly ExplainStep[] | undefined {
    return this.steps.get(jobId);
  }

  put(jobId: string, steps: readonly ExplainStep[]): void {
    this.steps.delete(jobId);
    this.steps.set(jobId, steps);
    if (this.steps.size <= this.capacity) return;
    const [oldest] = this.steps.keys();
    if (oldest !== undefined) this.steps.delete(oldest);
  }
}
