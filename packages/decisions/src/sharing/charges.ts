/** Running tasks and what they are charged until they end. */
import type {Resources} from '@mustardferry/model';

/** A running task. */
export interface Charge {
  readonly team: string;
  readonly resources: Resources;
  readonly dominantShare: number;
  /** Charged in advance: dominant share times expected run time. */
  readonly expectedCost: number;
  readonly startedAtMs: number;
}

/** Shortest time charged, so that no task is free. */
const MIN_CHARGE_MS = 1;

/** Service that a task consumed, in dominant-share milliseconds. */
export function actualCost(charge: Charge, now: number): number {
  const runMs = Math.max(MIN_CHARGE_MS, now - charge.startedAtMs);
  return charge.dominantShare * runMs;
}
