/**
 * Quantiles and medians.
 *
 * @module
 */
import { build } from "hdr-histogram-js";

/** Quantiles of a set of times. */
export interface Quantiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly count: number;
}

const UNITS_PER_MS = 1000;
const MAX_MS = 3_600_000;

/** Quantiles of times in milliseconds, to a microsecond. */
export function computeQuantiles(times: readonly number[]): Quantiles {
  const histogram = build({
    highestTrackableValue: MAX_MS * UNITS_PER_MS,
    numberOfSignificantValueDigits: 3,
  });
  for (const time of times) {
    histogram.recordValue(Math.max(1, Math.round(time * UNITS_PER_MS)));
  }
  const read = (percent: number) =>
    histogram.getValueAtPercentile(percent) / UNITS_PER_MS;
  return { p50: read(50), p95: read(95), p99: read(99), count: times.length };
}

/** Rounds to `digits` decimals. */
export function roundTo(value: number, digits: number): number {
  const factor = 10 ** digits;
  return Math.round(value * factor) / factor;
}

/** Slope and intercept of a least-squares line through points. */
export function fitLine(
  points: readonly { x: number; y: number }[],
): { slope: number; intercept: number } {
  const n = points.length;
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / n;
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / n;
  let above = 0;
  let below = 0;
  for (const { x, y } of points) {
    above += (x - meanX) * (y - meanY);
    below += (x - meanX) ** 2;
  }
  const slope = below === 0 ? 0 : above / below;
  return { slope, intercept: meanY - slope * meanX };
}
