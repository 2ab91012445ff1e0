/**
 * Limits how many retries this VM may send to a service. All VMs share one retry budget. The
 * module has no clock: each update carries the time.
 *
 * In any window the fleet may send a fixed number of retries, plus a share of the number of
 * calls. Each VM spends its part of the fixed number through a token bucket with a small burst.
 * The sum over all VMs therefore stays within the budget in any window, however often a VM
 * restarts during it.
 *
 * @module
 */

/** Options of {@linkcode FleetRetryBudget}. */
export interface FleetRetryBudgetOptions {
  /** Retries allowed per window for the whole fleet. */
  readonly fixedPerWindow: number;
  /** Additional retries allowed per call. */
  readonly share: number;
  readonly windowMs: number;
}

interface Bucket {
  tokens: number;
  /** Decaying sum of what calls have earned. */
  earnedByCalls: number;
  refilledAtMs: number;
}

/**
 * Shares of the fleet's fixed number that are used for the burst and for the refill rate. The
 * remaining tenth covers retries of VMs that assume another fleet size.
 */
const BURST_SHARE = 0.4;
const RATE_SHARE = 0.5;
/** Used part of the per-call share, as calls and retries are counted in different windows. */
const CALL_SHARE_FACTOR = 0.7;
/**
 * A VM keeps what its calls earned in this share of the window, because targets fail in bursts. In any
 * window it may then spend 0.7 of the per-call share, and 0.7 x 0.25 that was earned before.
 */
const KEPT_WINDOW_SHARE = 0.25;

/** The part of the fleet's retry budget that one VM may spend. */
export class FleetRetryBudget {
  readonly #options: FleetRetryBudgetOptions;
  readonly #buckets = new Map<string, Bucket>();
  #liveVms = 1;

  constructor(options: FleetRetryBudgetOptions) {
    this.#options = options;
  }

  /** Sets the number of VMs that share the budget. */
  setLiveVms(count: number): void {
    this.#liveVms = Math.max(1, count);
  }

  /** Credits the service with the fraction of a retry that a call earns. */
  recordCall(service: string, nowMs: number): void {
    const bucket = this.#refill(service, nowMs);
    const earned = this.#options.share * CALL_SHARE_FACTOR;
    bucket.earnedByCalls += earned;
    bucket.tokens = Math.min(
      this.#getCapacity(bucket),
      bucket.tokens + earned,
    );
  }

  /** Takes the credit of a call back that another VM counts. */
  forgetCall(service: string, nowMs: number): void {
    const bucket = this.#refill(service, nowMs);
    const earned = this.#options.share * CALL_SHARE_FACTOR;
    bucket.earnedByCalls = Math.max(0, bucket.earnedByCalls - earned);
    bucket.tokens = Math.max(0, bucket.tokens - earned);
  }

  /** Spends one retry. Returns false if none is left. */
  spendRetry(service: string, nowMs: number): boolean {
    const bucket = this.#refill(service, nowMs);
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
  }

  /** Number of retries that may be sent to the service now; a part of one can't be spent. */
  getAvailable(service: string, nowMs: number): number {
    return this.#refill(service, nowMs).tokens;
  }

  /** Number of retries that a new VM may send at once; below 1 in a large fleet. */
  #getBurstSize(): number {
    return this.#options.fixedPerWindow * BURST_SHARE / this.#liveVms;
  }

  /** Bucket capacity: at least one retry, so that a burst size below 1 can accumulate to one. */
  #getCapacity({ earnedByCalls }: Bucket): number {
    return Math.max(1, this.#getBurstSize()) + earnedByCalls;
  }

  #refill(service: string, nowMs: number): Bucket {
    let bucket = this.#buckets.get(service);
    if (bucket === undefined) {
      bucket = {
        tokens: this.#getBurstSize(),
        earnedByCalls: 0,
        refilledAtMs: nowMs,
      };
      this.#buckets.set(service, bucket);
    }
    const { fixedPerWindow, windowMs } = this.#options;
    const ratePerMs = fixedPerWindow * RATE_SHARE / windowMs / this.#liveVms;
    const elapsedMs = nowMs - bucket.refilledAtMs;
    bucket.earnedByCalls *= Math.exp(
      -elapsedMs / (windowMs * KEPT_WINDOW_SHARE),
    );
    bucket.tokens = Math.min(
      this.#getCapacity(bucket),
      bucket.tokens + elapsedMs * ratePerMs,
    );
    bucket.refilledAtMs = nowMs;
    return bucket;
  }
}
