/**
 * Ranks waiting calls by the share of their client account, so that under an overload by one account
 * the calls of the others are served. A client that returns at the time it was told goes before new
 * calls of its class.
 *
 * @module
 */
import { FairShares } from "heatherarch-shares";
import type { CallRanker, RankedCall } from "./call_queue.ts";

/** Options of {@linkcode AccountRanker}. */
export interface AccountRankerOptions {
  /** Shares that other components also use; by default of the ranker only. */
  readonly shares?: Pick<FairShares, "computeRank" | "recordWork">;
  /** Called with the rank of an account for which work is dispatched. */
  readonly onDispatch?: (rank: number) => void;
}

/** Ranks the calls of one VM, and records what they have used. */
export class AccountRanker implements CallRanker {
  readonly #shares: Pick<FairShares, "computeRank" | "recordWork">;
  readonly #onDispatch: (rank: number) => void;

  constructor(options: AccountRankerOptions = {}) {
    this.#shares = options.shares ?? new FairShares();
    this.#onDispatch = options.onDispatch ?? (() => undefined);
  }

  /** Returns the rank of a call; the lowest goes first. */
  computeRank(
    { service = "", account, isReturn }: RankedCall,
    nowMs: number,
  ): number {
    const rank = account === undefined
      ? 0
      : this.#shares.computeRank(service, account, nowMs);
    return isReturn ? rank - 1 : rank;
  }

  /** Records work that was dispatched for a call, milliseconds of one slot. */
  recordWork(
    { service = "", account }: Pick<RankedCall, "service" | "account">,
    workMs: number,
    nowMs: number,
  ): void {
    if (account === undefined) return;
    this.#onDispatch(this.#shares.computeRank(service, account, nowMs));
    this.#shares.recordWork(service, account, workMs, nowMs);
  }
}
