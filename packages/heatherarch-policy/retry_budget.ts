/**
 * A budget that keeps retries a share of fresh requests, so that they can't multiply load.
 *
 * @module
 */

/** Options of {@linkcode RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries earned by each fresh request. */
  readonly share: number;
  /** Retries that may be saved up. */
  readonly capacity?: number;
}

const DEFAULT_CAPACITY = 20;
/** Shares add up with rounding errors. */
const ROUNDING_TOLERANCE = 1e-9;

/** Counts what may still be retried. */
export class RetryBudget {
  readonly #share: number;
  readonly #capacity: number;
  #tokens: number;

  constructor(options: RetryBudgetOptions) {
    this.#share = options.share;
    this.#capacity = options.capacity ?? DEFAULT_CAPACITY;
    this.#tokens = this.#capacity;
  }

  /** A fresh request earns a share of a retry. */
  recordRequest(): void {
    this.#tokens = Math.min(this.#capacity, this.#tokens + this.#share);
  }

  /** Spends one retry; false where none is left. */
  spendRetry(): boolean {
    if (this.#tokens < 1 - ROUNDING_TOLERANCE) return false;
    this.#tokens = Math.max(0, this.#tokens - 1);
    return true;
  }
}
