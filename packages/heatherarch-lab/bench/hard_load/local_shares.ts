/**
 * Use of client accounts and their ranks, as the design page describes them.
 *
 * @module
 */

/** Time constant of the decay of use, milliseconds. */
const DECAY_MS = 3000;
const PEER_TIMEOUT_MS = 1500;
const RANK_FACTORS = [1, 2, 4];

/** Service, account, milliseconds of work, number of accounts. */
export type LocalUseRow = readonly [
  group: string,
  account: string,
  workMs: number,
  accounts: number,
];

/** The shares that one VM knows of; all accounts have the same weight. */
export class LocalFairShares {
  readonly #own = new Map<string, { workMs: number; atMs: number }>();
  readonly #peers = new Map<
    string,
    { rows: readonly LocalUseRow[]; atMs: number }
  >();

  recordWork(
    _group: string,
    account: string,
    workMs: number,
    nowMs: number,
  ): void {
    const use = this.#getOwn(account, nowMs);
    this.#own.set(account, { workMs: use + workMs, atMs: nowMs });
  }

  computeRank(_group: string, account: string, nowMs: number): number {
    const sums = this.#sumByAccount(nowMs);
    let total = 0;
    for (const workMs of sums.values()) total += workMs;
    const share = total / sums.size;
    const use = sums.get(account) ?? 0;
    return RANK_FACTORS.filter((factor) => use > share * factor).length;
  }

  listOwnUse(nowMs: number): LocalUseRow[] {
    return [...this.#own.keys()].map((
      account,
    ) => ["", account, this.#getOwn(account, nowMs), 1]);
  }

  setPeerUse(
    peer: string,
    rows: readonly LocalUseRow[],
    nowMs: number,
    _scope?: string,
  ): void {
    this.#peers.set(peer, { rows, atMs: nowMs });
  }

  #getOwn(account: string, nowMs: number): number {
    const use = this.#own.get(account);
    if (use === undefined) return 0;
    return use.workMs * Math.exp((use.atMs - nowMs) / DECAY_MS);
  }

  #sumByAccount(nowMs: number): Map<string, number> {
    const sums = new Map<string, number>();
    for (const account of this.#own.keys()) {
      sums.set(account, this.#getOwn(account, nowMs));
    }
    for (const { rows, atMs } of this.#peers.values()) {
      if (nowMs - atMs > PEER_TIMEOUT_MS) continue;
      const left = Math.exp((atMs - nowMs) / DECAY_MS);
      for (const [, account, workMs] of rows) {
        sums.set(account, (sums.get(account) ?? 0) + workMs * left);
      }
    }
    return sums;
  }
}
