/**
 * Estimates how long an engine keeps an unused prompt prefix in its KV cache.
 *
 * Every prompt brings thousands of tokens of its own, which evict the least recently used
 * prefixes. At 35,000 new tokens a second, an engine with a cache of 480,000 tokens keeps a
 * prefix for about 11 s, and many prefixes are used less often than that. If an evicted prefix is
 * assumed to be cached, the predicted prefill time is four times too short.
 *
 * The module has no clock: each update carries the time.
 *
 * @module
 */

/** Share of the KV cache that is not held by runs, handles and prompts in prefill. */
const CACHEABLE_SHARE = 0.8;
/** Time constant of the measured token rate, milliseconds. */
const RATE_TIME_CONSTANT_MS = 4000;
/** Upper bound and default while the load is unknown; any prefix is reused within this time. */
const MAX_RETENTION_MS = 30_000;

/** Measures the prefill rate of this VM and estimates the retention time of engine caches. */
export class CacheRetention {
  #tokensPerMs = 0;
  #updatedAtMs: number | undefined;

  /** Records a prefill of `tokens` that the engine had not cached. */
  recordPrefill(tokens: number, nowMs: number): void {
    this.#decay(nowMs);
    this.#tokensPerMs += tokens / RATE_TIME_CONSTANT_MS;
  }

  /**
   * Estimates for how long an engine keeps an unused prefix, in milliseconds. `prefillEngines`
   * engines with a cache of `kvTokens` each share the load of `vmCount` VMs like this one.
   */
  estimateMs(
    kvTokens: number,
    prefillEngines: number,
    vmCount: number,
    nowMs: number,
  ): number {
    this.#decay(nowMs);
    const tokensPerMsPerEngine = this.#tokensPerMs * vmCount /
      Math.max(1, prefillEngines);
    if (tokensPerMsPerEngine === 0) return MAX_RETENTION_MS;
    return Math.min(
      MAX_RETENTION_MS,
      kvTokens * CACHEABLE_SHARE / tokensPerMsPerEngine,
    );
  }

  #decay(nowMs: number): void {
    const elapsedMs = nowMs - (this.#updatedAtMs ?? nowMs);
    this.#updatedAtMs = nowMs;
    this.#tokensPerMs *= Math.exp(-elapsedMs / RATE_TIME_CONSTANT_MS);
  }
}
