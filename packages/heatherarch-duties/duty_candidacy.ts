/**
 * Decides when a VM seeks the lease on a duty. The holder keeps the duty as long as it can perform
 * it: each change of holder costs the time of a lease. The module has no clock; each update carries
 * the time.
 *
 * A VM that gave a duty up, or has just started, stays away for two leases. If it took the duty back
 * sooner, its calls could alternate with those of the holder in between, and a target that doesn't
 * check fencing tokens might carry them out in any order.
 *
 * @module
 */

/** Options of {@linkcode DutyCandidacy}. */
export interface DutyCandidacyOptions {
  readonly leaseMs: number;
  /** Monotonic time at which the process started, milliseconds. */
  readonly startedAtMs: number;
}

/** What a VM knows when it decides whether to seek a duty. */
export interface CandidacyView {
  /** Number of candidates that are preferred to this VM; undefined if this VM is no candidate. */
  readonly rank: number | undefined;
  /** Whether the log shows that nobody holds the lease. */
  readonly isVacant: boolean;
  /** Whether any VM has ever held it. */
  readonly hasHistory: boolean;
  /** Offset of the last sign of the holder in the log. */
  readonly lastSignOffset: number;
}

/** Time that a VM leaves to each preferred candidate, milliseconds. */
const TURN_MS = 1000;
/** Turns between the reads of a VM that is no candidate. */
const MAX_POLL_TURNS = 9;
/** Leases for which a VM stays away from a duty that it has given up. */
const COOLDOWN_LEASES = 2;

/** Decides for one VM. */
export class DutyCandidacy {
  readonly #options: DutyCandidacyOptions;
  #notBeforeMs: number;
  #lastSignOffset = NaN;
  #signSeenAtMs = -Infinity;

  constructor(options: DutyCandidacyOptions) {
    this.#options = options;
    this.#notBeforeMs = options.startedAtMs +
      options.leaseMs * COOLDOWN_LEASES;
  }

  /** Records that this VM no longer holds the duty. */
  recordEnd(nowMs: number): void {
    this.#notBeforeMs = nowMs + this.#options.leaseMs * COOLDOWN_LEASES;
  }

  /** Whether the VM should seek the lease now. */
  shouldSeek(view: CandidacyView, nowMs: number): boolean {
    const { rank, isVacant, hasHistory, lastSignOffset } = view;
    if (lastSignOffset !== this.#lastSignOffset) {
      this.#lastSignOffset = lastSignOffset;
      this.#signSeenAtMs = nowMs;
    }
    if (rank === undefined) return false;
    // Nobody has held the duty before, so this VM hasn't either.
    if (hasHistory && nowMs < this.#notBeforeMs) return false;
    const silentMs = nowMs - this.#signSeenAtMs;
    const dueMs = isVacant ? 0 : this.#options.leaseMs;
    return silentMs >= dueMs + rank * TURN_MS;
  }

  /** Time between reads of the lease by a VM that doesn't hold it, milliseconds. */
  getPollMs(rank: number | undefined): number {
    return TURN_MS * (1 + (rank ?? MAX_POLL_TURNS));
  }
}
