/** Ordinary least squares with the standard error of the slope. */

/** A straight line through measured points. */
export interface LinearFit {
  readonly slope: number;
  readonly intercept: number;
  /** Standard error of the slope. */
  readonly slopeError: number;
  /** Part of the variance that the line explains. */
  readonly r2: number;
}

/** Fits a line; needs at least three points with different `x`. */
export function linearFit(
  points: readonly {readonly x: number; readonly y: number}[],
): LinearFit {
  const n = points.length;
  const mean = (pick: (p: {x: number; y: number}) => number) =>
    points.reduce((sum, point) => sum + pick(point), 0) / n;
  const meanX = mean(p => p.x);
  const meanY = mean(p => p.y);
  const sxx = n * mean(p => (p.x - meanX) ** 2);
  const sxy = n * mean(p => (p.x - meanX) * (p.y - meanY));
  const syy = n * mean(p => (p.y - meanY) ** 2);
  const slope = sxy / sxx;
  const intercept = meanY - slope * meanX;
  const residual = n * mean(p => (p.y - intercept - slope * p.x) ** 2);
  return {
    slope,
    intercept,
    slopeError: Math.sqrt(residual / (n - 2) / sxx),
    r2: syy === 0 ? 1 : 1 - residual / syy,
  };
}
