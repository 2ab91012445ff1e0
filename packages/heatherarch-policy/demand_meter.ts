/**
 * Measures the demand for prefill and decode work over a sliding window.
 *
 * @module
 */

/** Requested tokens per second, whether or not they were served. */
export interface Demand {
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
}

/** No demand. */
export const NO_DEMAND: Demand = {
  prefillTokensPerSecond: 0,
  decodeTokensPerSecond: 0,
};

/** Returns the sum of demands. */
export function sumDemand(demands: Iterable<Demand>): Demand {
  let prefillTokensPerSecond = 0;
  let decodeTokensPerSecond = 0;
  for (const demand of demands) {
    prefillTokensPerSecond += demand.prefillTokensPerSecond;
    decodeTokensPerSecond += demand.decodeTokensPerSecond;
  }
  return { prefillTokensPerSecond, decodeTokensPerSecond };
}

interface Bucket {
  readonly startMs: number;
  prefill: number;
  decode: number;
}

const BUCKET_COUNT = 10;

/** Measures demand over a sliding window of `windowMs`. */
export class DemandMeter {
  readonly #windowMs: number;
  readonly #bucketMs: number;
  readonly #buckets: Bucket[] = [];
  #firstRequestMs: number | undefined;

  constructor(windowMs: number) {
    this.#windowMs = windowMs;
    this.#bucketMs = windowMs / BUCKET_COUNT;
  }

  /** Records a request that arrived. */
  recordRequest(
    prefillTokens: number,
    decodeTokens: number,
    nowMs: number,
  ): void {
    this.#firstRequestMs ??= nowMs;
    let bucket = this.#buckets.at(-1);
    if (bucket === undefined || nowMs - bucket.startMs >= this.#bucketMs) {
      bucket = { startMs: nowMs, prefill: 0, decode: 0 };
      this.#buckets.push(bucket);
    }
    bucket.prefill += prefillTokens;
    bucket.decode += decodeTokens;
  }

  /** Returns the demand over the window that ends at `nowMs`. */
  read(nowMs: number): Demand {
    while (
      this.#buckets.length > 0 &&
      nowMs - this.#buckets[0].startMs > this.#windowMs
    ) {
      this.#buckets.shift();
    }
    if (this.#firstRequestMs === undefined) return NO_DEMAND;
    const spanMs = Math.min(
      this.#windowMs,
      Math.max(this.#bucketMs, nowMs - this.#firstRequestMs),
    );
    let prefill = 0;
    let decode = 0;
    for (const bucket of this.#buckets) {
      prefill += bucket.prefill;
      decode += bucket.decode;
    }
    return {
      prefillTokensPerSecond: prefill * 1000 / spanMs,
      decodeTokensPerSecond: decode * 1000 / spanMs,
    };
  }
}
