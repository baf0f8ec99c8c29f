/** Tracks the expected end and the racks of each job's running tasks. */

interface Progress {
  expectedEndAtMs: number;
  readonly racks: Map<string, number>;
}

/** Tells routing where and until when the other tasks of a job run. */
export class JobProgress {
  private readonly jobs = new Map<string, Progress>();

  started(jobId: string, rack: string, expectedEndAtMs: number): void {
    let progress = this.jobs.get(jobId);
    if (progress === undefined) {
      progress = {expectedEndAtMs: 0, racks: new Map()};
      this.jobs.set(jobId, progress);
    }
    progress.expectedEndAtMs = Math.max(
      progress.expectedEndAtMs,
      expectedEndAtMs,
    );
    progress.racks.set(rack, (progress.racks.get(rack) ?? 0) + 1);
  }

  ended(jobId: string, rack: string): void {
    const racks = this.jobs.get(jobId)?.racks;
    if (racks === undefined) return;
    racks.set(rack, Math.max(0, (racks.get(rack) ?? 0) - 1));
  }

  removeJob(jobId: string): void {
    this.jobs.delete(jobId);
  }

  getExpectedEndMs(jobId: string): number | undefined {
    return this.jobs.get(jobId)?.expectedEndAtMs;
  }

  getRacks(jobId: string): ReadonlyMap<string, number> | undefined {
    return this.jobs.get(jobId)?.racks;
  }
}
