/**
 * Recognises returns by their client timeout. Nothing in a request marks it as a retry, but the client
 * timeout that a request states is the time that its client has left, so it is shorter on a retry.
 *
 * @module
 */

/** A call looks like a return if its timeout is shorter than the usual one by this, milliseconds. */
export const MIN_SHORTENING_MS = 100;
/** The usual timeout is the longest one of this many periods, which are a minute together. */
const MAX_PERIODS = 6;
const PERIOD_MS = 10_000;
/** Routes that are kept: more than one configuration has. */
const MAX_ROUTES = 4096;

interface Longest {
  readonly period: number;
  timeoutMs: number;
}

/** Learns the usual client timeout of each route. */
export class ReturnDetector {
  /** Longest timeouts by period, oldest first. */
  readonly #routes = new Map<string, Longest[]>();

  /** Records the client timeout of a call; returns whether the call looks like a return. */
  isReturn(
    route: string,
    clientTimeoutMs: number | undefined,
    nowMs: number,
  ): boolean {
    if (clientTimeoutMs === undefined) return false;
    const periods = this.#recordTimeout(route, clientTimeoutMs, nowMs);
    const usualMs = Math.max(...periods.map(({ timeoutMs }) => timeoutMs));
    return clientTimeoutMs <= usualMs - MIN_SHORTENING_MS;
  }

  #recordTimeout(route: string, timeoutMs: number, nowMs: number): Longest[] {
    const period = Math.floor(nowMs / PERIOD_MS);
    const periods = (this.#routes.get(route) ?? [])
      .filter((longest) => period - longest.period < MAX_PERIODS);
    const latest = periods.at(-1);
    if (latest?.period !== period) periods.push({ period, timeoutMs });
    else latest.timeoutMs = Math.max(latest.timeoutMs, timeoutMs);
    // Keeps the routes in order of use, so that the first one is the longest unused.
    this.#routes.delete(route);
    this.#routes.set(route, periods);
    const [oldest] = this.#routes.keys();
    if (this.#routes.size > MAX_ROUTES) this.#routes.delete(oldest);
    return periods;
  }
}
