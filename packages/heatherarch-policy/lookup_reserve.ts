/**
 * Places that only lookups may use, kept free on a service's targets as long as lookups come.
 *
 * @module
 */

/** Options of {@linkcode LookupReserve}. */
export interface LookupReserveOptions {
  /** Share of each target's places. */
  readonly share: number;
}

/** How long the reserve is kept after a lookup. */
const RESERVE_RETENTION_MS = 60_000;

/** Remembers which services get lookups. */
export class LookupReserve {
  readonly #share: number;
  readonly #lastLookupMs = new Map<string, number>();

  constructor(options: LookupReserveOptions) {
    this.#share = options.share;
  }

  /** Notes a lookup on a service. */
  recordLookup(service: string, nowMs: number): void {
    this.#lastLookupMs.set(service, nowMs);
  }

  /** Share of places that other requests must leave free. */
  readShare(service: string, nowMs: number): number {
    const last = this.#lastLookupMs.get(service);
    return last !== undefined && nowMs - last < RESERVE_RETENTION_MS
      ? this.#share
      : 0;
  }
}
