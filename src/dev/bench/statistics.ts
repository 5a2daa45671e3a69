/** Summaries over the seeds of an experiment. */

/** Median and range of one measure over several runs. */
export interface Spread {
  readonly median: number;
  readonly lowest: number;
  readonly highest: number;
  readonly runs: number;
}

/** Returns the nearest-rank quantile for `share` (0 to 1); 0 for no values. */
export function quantile(values: readonly number[], share: number): number {
  if (values.length === 0) {
    return 0;
  }
  const sorted = [...values].sort((left, right) => left - right);
  const rank = Math.min(sorted.length - 1, Math.max(0, Math.ceil(share * sorted.length) - 1));
  return sorted[rank] as number;
}

export function spreadOf(values: readonly number[]): Spread {
  return {
    median: quantile(values, 0.5),
    lowest: Math.min(...values),
    highest: Math.max(...values),
    runs: values.length,
  };
}

/** A least-squares line through points, such as cost by size. */
export interface LineFit {
  readonly intercept: number;
  readonly slope: number;
  /** Coefficient of determination, 1 for a perfect fit. */
  readonly determination: number;
}

export function fitLine(points: readonly { readonly x: number; readonly y: number }[]): LineFit {
  const count = points.length;
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / count;
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / count;
  const covariance = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0);
  const varianceX = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0);
  const varianceY = points.reduce((sum, point) => sum + (point.y - meanY) ** 2, 0);
  const slope = varianceX === 0 ? 0 : covariance / varianceX;
  const determination = varianceX === 0 || varianceY === 0 ? 1 : covariance ** 2 / (varianceX * varianceY);
  return { intercept: meanY - slope * meanX, slope, determination };
}
