/**
 * Ranks returns before new calls of their class. A client that came back at the time that it was told
 * has less time left than one that has just come, and doesn't come a third time.
 *
 * @module
 */
import type { CallRanker, RankedCall } from "./call_queue.ts";

/** Lowers the rank of returns by one, and leaves the rest to another ranker. */
export class ReturnRanker implements CallRanker {
  readonly #ranker: CallRanker | undefined;

  /** Without another ranker, all other calls have rank 0. */
  constructor(ranker?: CallRanker) {
    this.#ranker = ranker;
  }

  computeRank(call: RankedCall, nowMs: number): number {
    const rank = this.#ranker?.computeRank(call, nowMs) ?? 0;
    return call.isReturn ? rank - 1 : rank;
  }

  recordDispatch(call: RankedCall, workMs: number, nowMs: number): void {
    this.#ranker?.recordDispatch?.(call, workMs, nowMs);
  }
}
