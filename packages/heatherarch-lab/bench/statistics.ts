/**
 * Quantiles, rounding and linear regression.
 *
 * @module
 */
import { build } from "hdr-histogram-js";

/** Quantiles of a set of durations. */
export interface Quantiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly count: number;
}

const UNITS_PER_MS = 1000;
const MAX_MS = 3_600_000;

/** Computes quantiles of durations in milliseconds, with a resolution of one microsecond. */
export function computeQuantiles(durationsMs: readonly number[]): Quantiles {
  const histogram = build({
    highestTrackableValue: MAX_MS * UNITS_PER_MS,
    numberOfSignificantValueDigits: 3,
  });
  for (const durationMs of durationsMs) {
    histogram.recordValue(Math.max(1, Math.round(durationMs * UNITS_PER_MS)));
  }
  const getPercentile = (percent: number) =>
    histogram.getValueAtPercentile(percent) / UNITS_PER_MS;
  return {
    p50: getPercentile(50),
    p95: getPercentile(95),
    p99: getPercentile(99),
    count: durationsMs.length,
  };
}

/** Rounds to `digits` decimal places. */
export function roundTo(value: number, digits: number): number {
  const factor = 10 ** digits;
  return Math.round(value * factor) / factor;
}

/** Computes slope and intercept of the least-squares line through `points`. */
export function fitLine(
  points: readonly { x: number; y: number }[],
): { slope: number; intercept: number } {
  const n = points.length;
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / n;
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / n;
  let numerator = 0;
  let denominator = 0;
  for (const { x, y } of points) {
    numerator += (x - meanX) * (y - meanY);
    denominator += (x - meanX) ** 2;
  }
  const slope = denominator === 0 ? 0 : numerator / denominator;
  return { slope, intercept: meanY - slope * meanX };
}
