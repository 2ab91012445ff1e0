/**
 * How long an engine keeps a prompt beginning that nobody uses.
 *
 * Pattern of load: every prompt brings thousands of tokens of its own, which push the least
 * recently used beginnings out. At 35,000 new tokens a second an engine with room for 480,000
 * keeps a beginning for some 11 s, and many beginnings are used less often than that. Counting
 * on one that has gone predicts a reading four times too short.
 *
 * Pure: time comes in with each update.
 *
 * @module
 */

/** Part of the KV cache that is not held by runs, handles and what is being read. */
const FREE_PART = 0.8;
/** Time constant of the measured rate, milliseconds. */
const RATE_WINDOW_MS = 4000;
/** Nothing is known of the load yet: long enough for any beginning to be used again. */
const UNKNOWN_MS = 30_000;

/** Measures what this VM has read and estimates what engines keep. */
export class CacheRetention {
  #tokensPerMs = 0;
  #atMs: number | undefined;

  /** A prompt brought `tokens` that an engine did not hold. */
  recordPrefill(tokens: number, nowMs: number): void {
    this.#decay(nowMs);
    this.#tokensPerMs += tokens / RATE_WINDOW_MS;
  }

  /**
   * Time for which an unused beginning stays, milliseconds, where `readers` engines with room
   * for `kvTokens` share what `vms` VMs like this one have read.
   */
  estimateMs(
    kvTokens: number,
    readers: number,
    vms: number,
    nowMs: number,
  ): number {
    this.#decay(nowMs);
    const perEngine = this.#tokensPerMs * vms / Math.max(1, readers);
    if (perEngine === 0) return UNKNOWN_MS;
    return Math.min(UNKNOWN_MS, kvTokens * FREE_PART / perEngine);
  }

  #decay(nowMs: number): void {
    const elapsedMs = nowMs - (this.#atMs ?? nowMs);
    this.#atMs = nowMs;
    this.#tokensPerMs *= Math.exp(-elapsedMs / RATE_WINDOW_MS);
  }
}
