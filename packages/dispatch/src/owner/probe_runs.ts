/** Runs that probe ejected upstreams. */
import type {OutlierEjection} from '@mustardferry/decisions';

import type {Run} from './job_table_types.js';

/**
 * Notices probes that end without a result: refused, lost, stopped, or dropped
 * with their jobs. Their upstreams would otherwise wait for a result for good.
 */
export class ProbeRuns {
  private readonly runs = new Map<string, Run>();

  constructor(private readonly health: OutlierEjection) {}

  /** Records the start of a run; it is a probe if its upstream is ejected. */
  recordStart(run: Run): void {
    const {key} = run.session;
    if (this.health.recordProbeStart(key)) this.runs.set(key, run);
  }

  /** Postpones the probes that have ended since; a result counts before. */
  postponeEnded(now: number): void {
    for (const [key, run] of this.runs) {
      if (run.session.runs.has(run)) continue;
      this.runs.delete(key);
      this.health.postponeProbe(key, now);
    }
  }
}
