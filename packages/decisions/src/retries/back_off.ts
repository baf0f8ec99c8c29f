/** Exponential back-off with full jitter (Brooker, AWS, 2015). */
import type {RandomGenerator} from 'pure-rand';

import {randomFraction} from '../common/random.js';

/** Options of the back-off, in milliseconds. */
export interface BackOffOptions {
  /** Upper bound of the first delay. Default 5. */
  readonly baseMs?: number;
  /** Upper bound of all delays. Default 1,000. */
  readonly maxMs?: number;
}

const DEFAULT_BASE_MS = 5;
const DEFAULT_MAX_MS = 1_000;
const MAX_DOUBLINGS = 30;

/** Delay before the attempt after `attempt`, which counts from 1. */
export function computeBackOffMs(
  attempt: number,
  rng: RandomGenerator,
  options: BackOffOptions = {},
): number {
  const {baseMs = DEFAULT_BASE_MS, maxMs = DEFAULT_MAX_MS} = options;
  const doublings = Math.min(MAX_DOUBLINGS, Math.max(0, attempt - 1));
  const bound = Math.min(maxMs, baseMs * 2 ** doublings);
  return Math.round(randomFraction(rng) * bound);
}
