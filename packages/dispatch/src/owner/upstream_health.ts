/** Settings of the ejection of upstreams whose tasks fail. */
import {OutlierEjection} from '@mustardferry/decisions';

/** Consecutive failures that eject; low, as jobs fail after few attempts. */
const EJECTION_FAILURE_COUNT = 2;

/** First probe of an ejected upstream in ms; most faults last seconds. */
const FIRST_PROBE_MS = 1_000;

/** Largest fraction of a pool that may be ejected at a time. */
const MAX_EJECTED_FRACTION = 0.4;

/** Creates the record of the failures on all upstreams of an owner. */
export function createUpstreamHealth(): OutlierEjection {
  return new OutlierEjection({
    consecutiveFailures: EJECTION_FAILURE_COUNT,
    firstProbeMs: FIRST_PROBE_MS,
    maxEjectedFraction: MAX_EJECTED_FRACTION,
  });
}
