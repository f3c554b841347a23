/** Linear regression of a cost against a size. */

/** One measured point. */
export interface Point {
  readonly size: number;
  readonly cost: number;
}

/** Least-squares line through measured points. */
export interface Fit {
  readonly intercept: number;
  readonly slope: number;
  /** Coefficient of determination; 1 if the cost is constant. */
  readonly r2: number;
}

/**
 * Fits a least-squares line.
 * @throws {RangeError} if the points have fewer than two different sizes
 */
export function fitLine(points: readonly Point[]): Fit {
  const count = points.length;
  const meanSize = getMean(points.map(({ size }) => size));
  const meanCost = getMean(points.map(({ cost }) => cost));
  let covariance = 0;
  let sizeVariance = 0;
  let costVariance = 0;
  for (const { size, cost } of points) {
    covariance += (size - meanSize) * (cost - meanCost);
    sizeVariance += (size - meanSize) ** 2;
    costVariance += (cost - meanCost) ** 2;
  }
  if (count < 2 || sizeVariance === 0) {
    throw new RangeError(
      "cannot fit a line: all points have the same size",
    );
  }
  const slope = covariance / sizeVariance;
  const intercept = meanCost - slope * meanSize;
  const r2 = costVariance === 0 ? 1 : slope * covariance / costVariance;
  return { intercept, slope, r2 };
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
