/** Lets concurrent submissions of one job share an admission. */
import type {Admitted} from './job_admission.js';

/** An admission that has not been recorded yet. */
export interface PendingAdmission {
  readonly digest: string;
  readonly admitted: Promise<Admitted>;
}

/** Pending admissions by job id. */
export class PendingAdmissions {
  private readonly pending = new Map<string, PendingAdmission>();

  get size(): number {
    return this.pending.size;
  }

  /** Returns the admission in progress, or starts one. */
  join(
    jobId: string,
    digest: string,
    admit: () => Promise<Admitted>,
  ): PendingAdmission {
    const known = this.pending.get(jobId);
    if (known !== undefined) return known;
    const admitted = admit().finally(() => this.pending.delete(jobId));
    const started = {digest, admitted};
    this.pending.set(jobId, started);
    return started;
  }
}
