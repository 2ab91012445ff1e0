/**
 * Ranks waiting calls by the share of their client account, so that under an overload by one account
 * the calls of the others are served. A client that returns at the time it was told goes before new
 * calls of its class.
 *
 * @module
 */
import { FairShares } from "heatherarch-shares";
import type { CallRanker, RankedCall } from "./queued_call.ts";

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
  computeRank(call: RankedCall, nowMs: number): number {
    const rank = this.#computeAccountRank(call, nowMs);
    return call.isReturn ? rank - 1 : rank;
  }

  /** Records work that was dispatched for a call, milliseconds of one slot. */
  recordDispatch(call: RankedCall, workMs: number, nowMs: number): void {
    const { service, account } = call;
    if (service === undefined || account === undefined) return;
    this.#onDispatch(this.#computeAccountRank(call, nowMs));
    this.#shares.recordWork(service, account, workMs, nowMs);
  }

  #computeAccountRank({ service, account }: RankedCall, nowMs: number): number {
    if (service === undefined || account === undefined) return 0;
    return this.#shares.computeRank(service, account, nowMs);
  }
}
