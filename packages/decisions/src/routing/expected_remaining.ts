/** Expected remaining run time of a task that has run for a known time. */

/** Beyond this many standard deviations, the log-normal model is not used. */
const TAIL_DEVIATIONS = 3;
/** Ratio of remaining to elapsed time in the tail, which is heavy. */
const TAIL_RATIO = 0.5;

/**
 * Upper tail probability of the normal distribution (Abramowitz and Stegun,
 * 26.2.17).
 */
function upperTail(z: number): number {
  if (z < 0) return 1 - upperTail(-z);
  const t = 1 / (1 + 0.2316419 * z);
  const series =
    t *
    (0.31938153 +
      t *
        (-0.356563782 +
          t * (1.781477937 + t * (-1.821255978 + t * 1.330274429))));
  return series * Math.exp((-z * z) / 2) * 0.3989422804;
}

/**
 * Mean remaining run time under a log-normal distribution with the given median
 * and spread, given that the task did not end within `elapsedMs`.
 */
export function estimateRemainingMs(
  medianMs: number,
  sigma: number,
  elapsedMs: number,
): number {
  const mean = medianMs * Math.exp((sigma * sigma) / 2);
  if (elapsedMs <= 0) return mean;
  const z = Math.log(elapsedMs / medianMs) / sigma;
  const tail = TAIL_RATIO * elapsedMs;
  if (z > TAIL_DEVIATIONS) return tail;
  const conditional = (mean * upperTail(z - sigma)) / upperTail(z);
  return Math.max(0, conditional - elapsedMs);
}
