/**
 * How many further tries this VM may send to a service, out of one allowance that all VMs
 * share. Pure: time comes in with each update.
 *
 * The fleet may send a fixed number of further tries in any window, and besides a share of the
 * calls. Each VM takes its part of the fixed number as a rate with a small burst, so that the
 * sum over VMs and any window stays within it, however often a VM restarts in the window.
 *
 * @module
 */

/** Options of {@linkcode RetryBudget}. */
export interface RetryBudgetOptions {
  /** Further tries in a window, for the whole fleet. */
  readonly fixedPerWindow: number;
  /** Further tries for each call. */
  readonly share: number;
  readonly windowMs: number;
}

interface Bucket {
  tokens: number;
  filledAtMs: number;
}

/**
 * Parts of the fleet's fixed number that go to the burst and to the rate. Their sum leaves a
 * tenth for tries that were counted at another VM's size of the fleet.
 */
const BURST_PART = 0.4;
const RATE_PART = 0.5;
/** Part of the share that is used: calls are counted in another window than tries. */
const SHARE_PART = 0.7;

/** The allowance of one VM. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #buckets = new Map<string, Bucket>();
  #liveVms = 1;

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  /** Sets the number of VMs that share the allowance. */
  setLiveVms(count: number): void {
    this.#liveVms = Math.max(1, count);
  }

  /** A call for a service earns a share of a further try. */
  recordCall(service: string, nowMs: number): void {
    const bucket = this.#fill(service, nowMs);
    const earned = this.#options.share * SHARE_PART;
    bucket.tokens = Math.min(this.#getMost(), bucket.tokens + earned);
  }

  /** Spends one further try; false where none is left. */
  spendRetry(service: string, nowMs: number): boolean {
    const bucket = this.#fill(service, nowMs);
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
  }

  /** Tries that a new VM may send at once; below 1 in a large fleet. */
  #getBurst(): number {
    return this.#options.fixedPerWindow * BURST_PART / this.#liveVms;
  }

  /** Tries that may be saved up: at least a whole one, which a small burst grows to. */
  #getMost(): number {
    return Math.max(1, this.#getBurst());
  }

  #fill(service: string, nowMs: number): Bucket {
    let bucket = this.#buckets.get(service);
    if (bucket === undefined) {
      bucket = { tokens: this.#getBurst(), filledAtMs: nowMs };
      this.#buckets.set(service, bucket);
    }
    const { fixedPerWindow, windowMs } = this.#options;
    const ratePerMs = fixedPerWindow * RATE_PART / windowMs / this.#liveVms;
    const earned = (nowMs - bucket.filledAtMs) * ratePerMs;
    bucket.tokens = Math.min(this.#getMost(), bucket.tokens + earned);
    bucket.filledAtMs = nowMs;
    return bucket;
  }
}
