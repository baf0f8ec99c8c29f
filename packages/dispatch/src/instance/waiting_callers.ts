/** Connections of instances whose callers wait for the end of jobs. */

/**
 * Time in ms from the loss of a connection to the abandonment of its jobs. The
 * instance has time to reconnect and retry its calls. If it does not, the jobs
 * are abandoned before their callers retry.
 */
const ABANDON_DELAY_MS = 800;

/** Tracks which connection waits for which job. */
export class WaitingCallers<C extends object> {
  private readonly byJob = new Map<string, C>();

  constructor(private readonly abandon: (job: string) => void) {}

  add(job: string, connection: C): void {
    this.byJob.set(job, connection);
  }

  /** Stops tracking a job that was answered. */
  remove(job: string, connection: C): void {
    if (this.byJob.get(job) === connection) this.byJob.delete(job);
  }

  /** Abandons the jobs of a closed connection, unless another one adds them. */
  lost(connection: C): void {
    setTimeout(() => {
      for (const [job, waitingConnection] of [...this.byJob]) {
        if (waitingConnection !== connection) continue;
        this.byJob.delete(job);
        this.abandon(job);
      }
    }, ABANDON_DELAY_MS);
  }
}
