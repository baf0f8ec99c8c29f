/** Recent results and ejection state of one upstream. */

/** Half-life of a result in the failure ratio. */
export const RESULT_HALF_LIFE_MS = 10_000;

/** Whether an upstream is in use, ejected or gradually returning. */
export type HealthState = 'available' | 'ejected' | 'returning';

/** Counts of successes and failures that decay exponentially with age. */
export class DecayingCounts {
  private successes = 0;
  private failures = 0;
  private updatedAtMs = 0;

  add(successes: number, failures: number, now: number): void {
    this.decay(now);
    this.successes = Math.max(0, this.successes + successes);
    this.failures = Math.max(0, this.failures + failures);
  }

  getCounts(now: number): {readonly total: number; readonly failures: number} {
    this.decay(now);
    return {total: this.successes + this.failures, failures: this.failures};
  }

  clear(): void {
    this.successes = 0;
    this.failures = 0;
  }

  private decay(now: number): void {
    if (now <= this.updatedAtMs) return;
    const factor = 2 ** (-(now - this.updatedAtMs) / RESULT_HALF_LIFE_MS);
    this.successes *= factor;
    this.failures *= factor;
    this.updatedAtMs = now;
  }
}

/** Mutable health state of one upstream. */
export class UpstreamHealth {
  state: HealthState = 'available';
  readonly counts = new DecayingCounts();
  consecutiveFailures = 0;
  probeAtMs = 0;
  probeIntervalMs = 0;
  isProbing = false;
  /** Tasks allowed at once while the upstream returns. */
  allowance = 0;
  /** Successes of tasks that started earlier don't raise the allowance. */
  returningSinceMs = Number.NEGATIVE_INFINITY;
}
