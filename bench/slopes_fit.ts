/** Linear fit of a cost against a size. */

/** One measured point. */
export interface Point {
  readonly size: number;
  readonly cost: number;
}

/** Least-squares line through points. */
export interface Fit {
  readonly intercept: number;
  readonly slope: number;
  /** Share of the variance that the line explains; 1 for a flat cost. */
  readonly r2: number;
}

/** Fits a line; needs two different sizes. */
export function fitLine(points: readonly Point[]): Fit {
  const count = points.length;
  const meanSize = getMean(points.map(({ size }) => size));
  const meanCost = getMean(points.map(({ cost }) => cost));
  let covariance = 0;
  let variance = 0;
  let total = 0;
  for (const { size, cost } of points) {
    covariance += (size - meanSize) * (cost - meanCost);
    variance += (size - meanSize) ** 2;
    total += (cost - meanCost) ** 2;
  }
  if (count < 2 || variance === 0) {
    throw new RangeError("a fit needs two different sizes");
  }
  const slope = covariance / variance;
  const intercept = meanCost - slope * meanSize;
  const r2 = total === 0 ? 1 : slope * covariance / total;
  return { intercept, slope, r2 };
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
