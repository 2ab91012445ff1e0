/**
 * Counts the requests of one call that reach targets, and takes what they cost from the fleet's retry
 * budget. Each request passes through here before it is sent, so none can exceed the budget.
 *
 * @module
 */
import type { AttemptCounts } from "../model.ts";
import type { TakenRetry } from "../state/fleet_retry_budget.ts";

/** Counts of a call that no target has got. */
export const NO_ATTEMPTS: AttemptCounts = {
  sent: 0,
  prefills: 0,
  isPrefilled: false,
};
/** Counts of a call of which another VM does not tell them: each further request is a retry. */
export const UNKNOWN_ATTEMPTS: AttemptCounts = {
  sent: 2,
  prefills: 1,
  isPrefilled: true,
};

/** Requests that are about to be sent, one after the other. */
export interface PlannedRequests {
  readonly requests: number;
  /** The first of them is a prefill. The others are sent only if it succeeds. */
  readonly beginsWithPrefill?: boolean;
}

/** Options of {@linkcode AttemptLedger}. */
export interface AttemptLedgerOptions {
  /** What the VM counted that handed the call over; by default the call is new. */
  readonly counts?: AttemptCounts;
  /** Takes retries from the budget; returns undefined, and takes none, if fewer are left. */
  readonly takeRetries: (count: number) => TakenRetry[] | undefined;
  /** Returns the current monotonic time, milliseconds. */
  readonly readMonotonicMs: () => number;
}

/**
 * Computes how many requests of a call are retries. Once an engine has prefilled the prompt, these are
 * the prefills and the runs beyond the first of each; before, all requests but the first. A prefill
 * that is repeated is a retry also if no run follows it.
 */
export function countRetries(
  { sent, prefills, isPrefilled }: AttemptCounts,
): number {
  if (!isPrefilled) return Math.max(0, sent - 1);
  return Math.max(0, prefills - 1) + Math.max(0, sent - prefills - 1);
}

/** The requests of one call. */
export class AttemptLedger {
  readonly #options: AttemptLedgerOptions;
  #counts: AttemptCounts;
  /** Retries that other VMs have sent, and taken from their part of the budget. */
  #retriesElsewhere: number;
  /** Retries that this VM has taken and not given back, in the order in which they are sent. */
  readonly #taken: TakenRetry[] = [];
  #hasEnded = false;

  constructor(options: AttemptLedgerOptions) {
    this.#options = options;
    this.#counts = options.counts ?? NO_ATTEMPTS;
    this.#retriesElsewhere = countRetries(this.#counts);
  }

  /** What has been counted so far, at all VMs. */
  get counts(): AttemptCounts {
    return this.#counts;
  }

  /** Number of retries that this VM has sent. */
  get retries(): number {
    return countRetries(this.#counts) - this.#retriesElsewhere;
  }

  /** Number of retries that this VM has taken for the call. */
  get retriesTaken(): number {
    return this.#taken.length;
  }

  /** Computes how many more retries have to be taken before the requests may be sent. */
  computeDue({ requests, beginsWithPrefill = false }: PlannedRequests): number {
    const { sent, prefills, isPrefilled } = this.#counts;
    const retries = countRetries({
      sent: sent + requests,
      prefills: prefills + (beginsWithPrefill ? 1 : 0),
      isPrefilled: isPrefilled || beginsWithPrefill,
    });
    return Math.max(
      0,
      retries - this.#retriesElsewhere - this.#taken.length,
    );
  }

  /** Takes the retries that are due for the requests. Returns whether they may be sent. */
  reserve(planned: PlannedRequests): boolean {
    const due = this.computeDue(planned);
    if (due === 0) return true;
    const taken = this.#options.takeRetries(due);
    if (taken === undefined) return false;
    this.#taken.push(...taken);
    return true;
  }

  /** Counts a request. Returns a function that takes it back if it did not reach its target. */
  recordSent({ isPrefill = false }: { isPrefill?: boolean } = {}): () => void {
    const retriesBefore = this.retries;
    this.#addSent(1, isPrefill);
    if (this.retries > retriesBefore) {
      this.#taken[retriesBefore]?.markSent(this.#options.readMonotonicMs());
    }
    return () => {
      this.#addSent(-1, isPrefill);
      if (this.#hasEnded) this.#refundUnused();
    };
  }

  /** Records that an engine has prefilled the prompt. */
  recordPrefilled(): void {
    this.#counts = { ...this.#counts, isPrefilled: true };
  }

  /** Records what a peer counted that served the call and gave it back. */
  recordPeerCounts(counts: AttemptCounts): void {
    const { retries } = this;
    this.#counts = counts;
    this.#retriesElsewhere = countRetries(counts) - retries;
  }

  /** Gives retries back that were taken and not sent: the call has ended. */
  end(): void {
    this.#hasEnded = true;
    this.#refundUnused();
  }

  #addSent(count: number, isPrefill: boolean): void {
    const { sent, prefills, isPrefilled } = this.#counts;
    this.#counts = {
      sent: sent + count,
      prefills: prefills + (isPrefill ? count : 0),
      isPrefilled,
    };
  }

  #refundUnused(): void {
    for (const retry of this.#taken.splice(Math.max(0, this.retries))) {
      retry.refund();
    }
  }
}
