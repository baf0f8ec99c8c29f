/** Whether evacuations leave a step without any upstream. */
import type {Step} from '../jobs/job_types.js';
import type {UpstreamRecord} from '../upstreams/upstream_types.js';
import type {UpstreamSession} from './upstream_session.js';

/**
 * Whether a step fits on upstreams of evacuated data centres, busy or not, and
 * on no other. An upstream whose leases have expired does not count as another:
 * most callers would not wait until it returns.
 *
 * @param sessions All upstreams of the pool.
 * @param departed Upstreams of evacuated data centres that have left since.
 */
export function fitsOnlyEvacuated(
  step: Step,
  sessions: Iterable<UpstreamSession>,
  departed: readonly UpstreamRecord[] = [],
): boolean {
  let fitsEvacuated = departed.some(record => fits(step, record));
  for (const session of sessions) {
    if (!fits(step, session.record)) continue;
    if (session.isEvacuated) fitsEvacuated = true;
    else if (mayServe(session)) return false;
  }
  return fitsEvacuated;
}

function fits(step: Step, record: UpstreamRecord): boolean {
  return (
    step.cpuMillis <= record.cpuMillis &&
    step.memoryMb <= record.memoryMb &&
    step.accelerators <= record.accelerators &&
    (step.label === '' || record.labels.includes(step.label))
  );
}

function mayServe({
  contactState,
  record,
  deregistered,
}: UpstreamSession): boolean {
  return contactState !== 'lost' && !record.leaving && !deregistered;
}
