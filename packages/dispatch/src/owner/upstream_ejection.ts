/** Ejection of upstreams whose tasks fail, and the runs that probe them. */
import {OutlierEjection} from '@mustardferry/decisions';

import type {Run} from './job_table_types.js';

/** Consecutive failures that eject; low, as jobs fail after few attempts. */
const EJECTION_FAILURE_COUNT = 2;

/** First probe of an ejected upstream in ms; most faults last seconds. */
const FIRST_PROBE_MS = 1_000;

/** Largest fraction of a pool that may be ejected at a time. */
const MAX_EJECTED_FRACTION = 0.4;

/** Creates the record of the failures on all upstreams of an owner. */
export function createUpstreamEjection(): OutlierEjection {
  return new OutlierEjection({
    consecutiveFailures: EJECTION_FAILURE_COUNT,
    firstProbeMs: FIRST_PROBE_MS,
    maxEjectedFraction: MAX_EJECTED_FRACTION,
  });
}

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
