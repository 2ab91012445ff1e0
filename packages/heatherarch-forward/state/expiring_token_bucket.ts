/**
 * A token bucket whose whole tokens expire. Many buckets share one limit: if each kept a token while
 * idle, all of them together could send one request each at the same moment.
 *
 * @module
 */

/** Time for which a whole token can be used, milliseconds. */
const TOKEN_LIFETIME_MS = 1000;
/** Requests that are sent without a token are owed, up to this number. */
const MAX_DEBT = 2;

/** Options of {@linkcode ExpiringTokenBucket}. */
export interface ExpiringTokenBucketOptions {
  /** Tokens at the start, negative if requests are owed; below 1. */
  readonly initialTokens: number;
  readonly nowMs: number;
}

/** Tokens that one VM earns at a rate which may change. */
export class ExpiringTokenBucket {
  #tokens: number;
  #refilledAtMs: number;

  constructor({ initialTokens, nowMs }: ExpiringTokenBucketOptions) {
    this.#tokens = initialTokens;
    this.#refilledAtMs = nowMs;
  }

  /** Tokens as of the last refill; negative if requests are owed. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Adds what was earned since the last refill, and drops tokens that have expired. */
  refill(tokensPerMs: number, nowMs: number): void {
    this.#tokens += Math.max(0, nowMs - this.#refilledAtMs) * tokensPerMs;
    this.#refilledAtMs = nowMs;
    const expired = Math.floor(this.#tokens - TOKEN_LIFETIME_MS * tokensPerMs);
    if (expired >= 1) this.#tokens -= expired;
  }

  /** Takes one token. A request that could not wait for it is owed. */
  take(): void {
    if (this.#tokens > -MAX_DEBT) this.#tokens -= 1;
  }
}
