/**
 * How long calls have lately taken, by route.
 *
 * @module
 */

/** Durations that are kept for each route. The longest one of them is exceeded by one call in 33. */
const MAX_DURATIONS = 32;
/** Routes that are kept; a configuration may replace all of them. */
const MAX_ROUTES = 512;

/** Durations of the calls that one VM has served. */
export class CallDurations {
  readonly #routes = new Map<string, number[]>();

  /** Records the duration of a call that was served, milliseconds. */
  record(route: string, tookMs: number): void {
    const durations = this.#routes.get(route) ?? [];
    durations.push(tookMs);
    if (durations.length > MAX_DURATIONS) durations.shift();
    // The routes that were served last are at the end.
    this.#routes.delete(route);
    this.#routes.set(route, durations);
    if (this.#routes.size <= MAX_ROUTES) return;
    for (const oldest of this.#routes.keys()) {
      this.#routes.delete(oldest);
      break;
    }
  }

  /** Predicts how long a call takes at most; undefined if none was served on its route. */
  predictMs(route: string): number | undefined {
    const durations = this.#routes.get(route);
    return durations === undefined ? undefined : Math.max(...durations);
  }
}
