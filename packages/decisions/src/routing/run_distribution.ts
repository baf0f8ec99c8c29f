/**
 * Distribution of the logarithms of a kind's run times. Quantiles are tracked
 * by stochastic approximation (Robbins and Monro, 1951): memory is constant and
 * one report moves a quantile by a bounded step.
 */

/** Quantiles that are tracked. */
export type RunTimeQuantile = 'p50' | 'p95';

const QUANTILE_LEVELS = {p50: 0.5, p95: 0.95} as const;
/** Smallest learning rate of the deviation and the quantiles. */
const MIN_LEARNING_RATE = 0.02;
const INITIAL_SCALE = 0.7;
const MIN_SCALE = 0.05;
const MAX_SCALE = 2;
/** Standard over mean absolute deviation of a normal distribution. */
const SIGMA_PER_MEAN_DEVIATION = 1.2533;

/** Location, scale and quantiles of a kind's logarithmic run times. */
export class RunTimeDistribution {
  /** Sum of the weights of all reports. */
  weight = 0;
  /**
   * Quantiles relative to the location, in units of the scale, which converges
   * much sooner: the p95 moves down by only 5% of a step per report.
   */
  private readonly quantileOffsets = {p50: 0, p95: 1.645};
  private meanDeviation = INITIAL_SCALE / SIGMA_PER_MEAN_DEVIATION;

  /** `value` is the location: a logarithm of milliseconds. */
  constructor(public value: number) {}

  get location(): number {
    return this.value;
  }

  /** Robust standard deviation of the residuals. */
  get scale(): number {
    const sigma = this.meanDeviation * SIGMA_PER_MEAN_DEVIATION;
    return Math.max(MIN_SCALE, Math.min(MAX_SCALE, sigma));
  }

  getQuantile(name: RunTimeQuantile): number {
    const {p50, p95} = this.quantileOffsets;
    return this.scale * (name === 'p50' ? p50 : Math.max(p50, p95));
  }

  /** Learns a residual relative to the location. */
  observe(residual: number, weight: number): void {
    const rate =
      weight * Math.max(MIN_LEARNING_RATE, 1 / (2 + Math.min(50, this.weight)));
    const clipped = Math.min(Math.abs(residual), 3 * this.scale);
    this.meanDeviation += rate * (clipped - this.meanDeviation);
    const standard = residual / this.scale;
    for (const name of ['p50', 'p95'] as const) {
      const below = standard <= this.quantileOffsets[name] ? 1 : 0;
      this.quantileOffsets[name] += 2 * rate * (QUANTILE_LEVELS[name] - below);
    }
  }
}
