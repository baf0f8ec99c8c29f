/** Costs charged to teams for running tasks. */
import type {Resources} from '@mustardferry/model';

/** Cost charged to a team while one of its tasks runs. */
export interface Charge {
  readonly team: string;
  readonly resources: Resources;
  readonly dominantShare: number;
  /** Cost charged at the start: dominant share times expected run time. */
  readonly expectedCost: number;
  readonly startedAtMs: number;
}

/** Shortest run time charged, so that every task has a cost. */
const MIN_CHARGE_MS = 1;

/** Cost of the time that a task has run, in dominant-share milliseconds. */
export function computeActualCost(charge: Charge, now: number): number {
  const runMs = Math.max(MIN_CHARGE_MS, now - charge.startedAtMs);
  return charge.dominantShare * runMs;
}
