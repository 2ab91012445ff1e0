/**
 * Retry budget that limits retries to a share of new requests, so that retries can't multiply
 * the load.
 *
 * @module
 */

/** Options of {@linkcode RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries that each new request adds to the budget. */
  readonly share: number;
  /** Maximum number of retries that the budget holds. */
  readonly capacity?: number;
}

const DEFAULT_CAPACITY = 20;
/** Tolerance for the rounding errors of summed shares. */
const ROUNDING_TOLERANCE = 1e-9;

/** Token bucket of retries. */
export class RetryBudget {
  readonly #share: number;
  readonly #capacity: number;
  #tokens: number;

  constructor(options: RetryBudgetOptions) {
    this.#share = options.share;
    this.#capacity = options.capacity ?? DEFAULT_CAPACITY;
    this.#tokens = this.#capacity;
  }

  /** Records a new request, which adds its share to the budget. */
  recordRequest(): void {
    this.#tokens = Math.min(this.#capacity, this.#tokens + this.#share);
  }

  /** Spends one retry. Returns false if none is left. */
  spendRetry(): boolean {
    if (this.#tokens < 1 - ROUNDING_TOLERANCE) return false;
    this.#tokens = Math.max(0, this.#tokens - 1);
    return true;
  }
}
