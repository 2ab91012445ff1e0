/**
 * Reserved capacity for lookups. A share of the slots of a service's targets is kept free for
 * lookups as long as the service receives lookups.
 *
 * @module
 */

/** Options of {@linkcode LookupReserve}. */
export interface LookupReserveOptions {
  /** Share of each target's slots that is reserved. */
  readonly share: number;
}

/** The reserve is kept for this long after a lookup. */
const RESERVE_RETENTION_MS = 60_000;

/** Tracks which services receive lookups. */
export class LookupReserve {
  readonly #share: number;
  readonly #lastLookupMs = new Map<string, number>();

  constructor(options: LookupReserveOptions) {
    this.#share = options.share;
  }

  /** Records a lookup on a service. */
  recordLookup(service: string, nowMs: number): void {
    this.#lastLookupMs.set(service, nowMs);
  }

  /** Returns the share of slots that other requests must leave free. */
  readShare(service: string, nowMs: number): number {
    const lastMs = this.#lastLookupMs.get(service);
    return lastMs !== undefined && nowMs - lastMs < RESERVE_RETENTION_MS
      ? this.#share
      : 0;
  }
}
