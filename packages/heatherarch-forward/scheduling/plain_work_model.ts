/**
 * Predicts how long a target of a plain service works on a call, from earlier calls of the same route.
 * The queue of the service paces its calls by this time, so it is the shortest usual one and holds no
 * waits at the target. The time by which targets are compared is a mean (`plain_time_model.ts`).
 *
 * @module
 */

/** Measured time of a call at a target. */
export interface PlainWorkSample {
  readonly route: string;
  readonly target: string;
  /** Time from the request to the complete response, milliseconds. */
  readonly tookMs: number;
}

interface Estimate {
  ms: number;
  atMs: number;
}

/**
 * Weights of a sample below and above the estimate, which follows the shortest times. Requests of other
 * VMs that this VM does not know of yet make a call longer, and nothing makes it shorter. If such waits
 * counted as work, VMs would send less than the targets can take, which leaves more calls waiting.
 */
const FASTER_WEIGHT = 0.3;
const SLOWER_WEIGHT = 0.02;
/**
 * An estimate without a sample for this long is forgotten. Otherwise one that is too long would keep
 * all calls from being sent, and would never be corrected.
 */
const RETENTION_MS = 5000;
/** Routes change with the configuration. Above this number, the one added first is dropped. */
const MAX_ROUTES = 256;

/** Usual times of plain calls, by route and target. */
export class PlainWorkModel {
  readonly #byRoute = new Map<string, Map<string, Estimate>>();
  readonly #routeEstimates = new Map<string, Estimate>();

  /** Learns from a call that its target could start at once, as far as this VM knew. */
  learn({ route, target, tookMs }: PlainWorkSample, nowMs: number): void {
    let byTarget = this.#byRoute.get(route);
    if (byTarget === undefined) {
      byTarget = new Map();
      this.#byRoute.set(route, byTarget);
      this.#dropOldest();
    }
    // Targets that have left have no samples, so their entries are dropped here.
    if (!byTarget.has(target)) dropExpired(byTarget, nowMs);
    byTarget.set(target, updateEstimate(byTarget.get(target), tookMs, nowMs));
    this.#routeEstimates.set(
      route,
      updateEstimate(this.#routeEstimates.get(route), tookMs, nowMs),
    );
  }

  /**
   * Predicts the time that a target with capacity takes for a call; that of the route's other targets
   * if there is no sample from this one. Returns 0 if nothing is known.
   */
  predictMs(route: string, target: string, nowMs: number): number {
    return readEstimate(this.#byRoute.get(route)?.get(target), nowMs) ??
      this.predictRouteMs(route, nowMs);
  }

  /** Predicts the time of a call at any target; 0 if nothing is known. */
  predictRouteMs(route: string, nowMs: number): number {
    return readEstimate(this.#routeEstimates.get(route), nowMs) ?? 0;
  }

  #dropOldest(): void {
    if (this.#byRoute.size <= MAX_ROUTES) return;
    const oldest = this.#byRoute.keys().next().value as string;
    this.#byRoute.delete(oldest);
    this.#routeEstimates.delete(oldest);
  }
}

function updateEstimate(
  before: Estimate | undefined,
  tookMs: number,
  nowMs: number,
): Estimate {
  const knownMs = readEstimate(before, nowMs);
  if (knownMs === undefined) return { ms: tookMs, atMs: nowMs };
  const weight = tookMs < knownMs ? FASTER_WEIGHT : SLOWER_WEIGHT;
  return { ms: knownMs + (tookMs - knownMs) * weight, atMs: nowMs };
}

function dropExpired(estimates: Map<string, Estimate>, nowMs: number): void {
  for (const [target, estimate] of estimates) {
    if (readEstimate(estimate, nowMs) === undefined) estimates.delete(target);
  }
}

function readEstimate(
  estimate: Estimate | undefined,
  nowMs: number,
): number | undefined {
  if (estimate === undefined || nowMs - estimate.atMs > RETENTION_MS) {
    return undefined;
  }
  return estimate.ms;
}
