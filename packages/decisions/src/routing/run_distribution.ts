/**
 * Distribution of a kind's run times around its location, in logarithms.
 * Quantiles by stochastic approximation (Robbins and Monro, 1951): memory is
 * constant and one report moves a quantile by a bounded step.
 */

/** Quantiles that are tracked. */
export type RunQuantile = 'p50' | 'p95';

const LEVELS = {p50: 0.5, p95: 0.95} as const;
/** Smallest learning rate of a quantile. */
const QUANTILE_RATE = 0.02;
const INITIAL_SCALE = 0.7;
const MIN_SCALE = 0.05;
const MAX_SCALE = 2;
/** Ratio of standard deviation to mean absolute deviation, normal. */
const SIGMA_PER_DEVIATION = 1.2533;

/** Location, scale and quantiles of a kind. */
export class RunDistribution {
  /** Sum of the weights of all reports. */
  weight = 0;
  /**
   * In units of the scale, which converges much sooner than a quantile: the
   * p95 moves down by only 5% of a step per report.
   */
  private readonly offsets = {p50: 0, p95: 1.645};
  private deviation = INITIAL_SCALE / SIGMA_PER_DEVIATION;

  /** `value` is the location: a logarithm of milliseconds. */
  constructor(public value: number) {}

  get location(): number {
    return this.value;
  }

  /** Robust standard deviation of the residuals. */
  get scale(): number {
    const sigma = this.deviation * SIGMA_PER_DEVIATION;
    return Math.max(MIN_SCALE, Math.min(MAX_SCALE, sigma));
  }

  quantile(name: RunQuantile): number {
    const {p50, p95} = this.offsets;
    return this.scale * (name === 'p50' ? p50 : Math.max(p50, p95));
  }

  /** Learns a residual relative to the location. */
  observe(residual: number, weight: number): void {
    const rate =
      weight * Math.max(QUANTILE_RATE, 1 / (2 + Math.min(50, this.weight)));
    const clipped = Math.min(Math.abs(residual), 3 * this.scale);
    this.deviation += rate * (clipped - this.deviation);
    const standard = residual / this.scale;
    for (const name of ['p50', 'p95'] as const) {
      const below = standard <= this.offsets[name] ? 1 : 0;
      this.offsets[name] += 2 * rate * (LEVELS[name] - below);
    }
  }
}
