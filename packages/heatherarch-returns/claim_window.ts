/**
 * Claims of one group within a sliding window of time. Nothing in a request proves that it is a
 * return, so only the number of claims can be limited.
 *
 * @module
 */

/** Claims that are kept; further ones are refused until the first ones have left the window. */
const MAX_CLAIMS = 4096;
/**
 * Lowest limit of a client account while other accounts claim as well, as a share of all claims. Without
 * a limit, an account whose clients retry often would take the claims of all others.
 */
const MIN_ACCOUNT_SHARE = 0.5;

/** Limits of the claims in a window. */
export interface ClaimLimits {
  /** Claims of all accounts. */
  readonly limit: number;
  /** Share of the booked returns that are the account's; 0 by default. */
  readonly accountShare?: number;
}

interface Claim {
  readonly account: string | undefined;
  readonly atMs: number;
}

/** Claims of the last `windowMs` milliseconds. */
export class ClaimWindow {
  readonly #windowMs: number;
  #claims: Claim[] = [];

  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Whether no claim is in the window. */
  isEmpty(nowMs: number): boolean {
    this.#expire(nowMs);
    return this.#claims.length === 0;
  }

  /** Records a claim if the limits permit it; returns whether they do. */
  claim(
    account: string | undefined,
    { limit, accountShare = 0 }: ClaimLimits,
    nowMs: number,
  ): boolean {
    this.#expire(nowMs);
    if (this.#claims.length + 1 > Math.min(limit, MAX_CLAIMS)) return false;
    const accountLimit = limit * Math.max(MIN_ACCOUNT_SHARE, accountShare);
    if (account !== undefined && this.#isAbove(account, accountLimit)) {
      return false;
    }
    this.#claims.push({ account, atMs: nowMs });
    return true;
  }

  #isAbove(account: string, limit: number): boolean {
    const own = this.#claims.filter((claim) => claim.account === account);
    const isAlone = own.length === this.#claims.length;
    return !isAlone && own.length + 1 > Math.max(1, limit);
  }

  #expire(nowMs: number): void {
    const first = this.#claims.findIndex(({ atMs }) =>
      nowMs - atMs < this.#windowMs
    );
    if (first !== 0) this.#claims = first < 0 ? [] : this.#claims.slice(first);
  }
}
