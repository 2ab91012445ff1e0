/**
 * Claims of one group within a sliding window of time. Nothing in a request proves that it is a
 * return, so only the number of claims can be limited.
 *
 * @module
 */

/** Claims that are kept; further ones are refused until the first ones have left the window. */
const MAX_CLAIMS = 4096;
/**
 * Share of the claims that one client account may use while other accounts claim as well. An account
 * whose clients retry often would otherwise take the claims of all others.
 */
const MAX_ACCOUNT_SHARE = 0.5;

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

  /** Records a claim if the limit permits it; returns whether it does. */
  claim(account: string | undefined, limit: number, nowMs: number): boolean {
    this.#expire(nowMs);
    if (this.#claims.length + 1 > Math.min(limit, MAX_CLAIMS)) return false;
    if (account !== undefined && this.#isAboveShare(account, limit)) {
      return false;
    }
    this.#claims.push({ account, atMs: nowMs });
    return true;
  }

  #isAboveShare(account: string, limit: number): boolean {
    const own = this.#claims.filter((claim) => claim.account === account);
    const isAlone = own.length === this.#claims.length;
    return !isAlone && own.length + 1 > Math.max(1, limit * MAX_ACCOUNT_SHARE);
  }

  #expire(nowMs: number): void {
    const first = this.#claims.findIndex(({ atMs }) =>
      nowMs - atMs < this.#windowMs
    );
    if (first !== 0) this.#claims = first < 0 ? [] : this.#claims.slice(first);
  }
}
