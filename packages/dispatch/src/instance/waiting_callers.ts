/** Instances that wait for the end of jobs on behalf of their callers. */

/**
 * Time in ms after which the jobs of a lost instance are abandoned. It may come
 * back and repeat its calls before; its callers repeat them later.
 */
const ABANDON_AFTER_MS = 800;

/** Notes which connection waits for which job. */
export class WaitingCallers<C extends object> {
  private readonly byJob = new Map<string, C>();

  constructor(private readonly abandon: (job: string) => void) {}

  add(job: string, connection: C): void {
    this.byJob.set(job, connection);
  }

  /** Notes that a job was answered. */
  remove(job: string, connection: C): void {
    if (this.byJob.get(job) === connection) this.byJob.delete(job);
  }

  /** Abandons what a lost connection waits for, unless it comes again. */
  lost(connection: C): void {
    setTimeout(() => {
      for (const [job, waiting] of [...this.byJob]) {
        if (waiting !== connection) continue;
        this.byJob.delete(job);
        this.abandon(job);
      }
    }, ABANDON_AFTER_MS);
  }
}
