/**
 * When one VM may claim, renew and act under the lease of its availability zone. Pure: it
 * sees only records read from the log and monotonic time, and it answers with records to
 * append. A wall clock plays no part.
 *
 * @module
 */
import {
  applyControlRecord,
  type ControlState,
  EMPTY_CONTROL_STATE,
  type OffsetRecord,
} from "./control_fold.ts";
import { CONTROL_FORMAT, type ControlRecord } from "./control_records.ts";

/** Options of {@linkcode LeaseStateMachine}. All times are milliseconds. */
export interface LeaseOptions {
  readonly vm: string;
  readonly incarnation: string;
  readonly durationMs: number;
  /** Bound on how far monotonic clocks of two VMs drift apart within one lease. */
  readonly driftMs: number;
  readonly renewMs: number;
  /** Source of record ids. */
  readonly createId: () => string;
  /** Guards switched off, to show that the proofs catch their absence. Empty in production. */
  readonly disabledGuards?: ReadonlySet<LeaseGuard>;
}

/** The guards that make the lease safe. */
export const LEASE_GUARDS = [
  "leaseWait",
  "countFromSend",
  "renewalMustBeRead",
  "displacedEndsAuthority",
  "leaseExpiry",
  "claimNamesPredecessor",
] as const;
/** Name of a guard. */
export type LeaseGuard = typeof LEASE_GUARDS[number];

/** What the machine wants done after a tick. */
export interface LeaseAction {
  readonly kind: "append";
  readonly record: ControlRecord;
}

interface SentAppend {
  readonly id: string;
  readonly sentAtMs: number;
}

/** Appends that are not confirmed after this many lease times are forgotten. */
const SENT_RETENTION_LEASE_TIMES = 4;

/** The lease as one VM sees it. */
export class LeaseStateMachine {
  readonly #options: LeaseOptions;
  readonly #disabledGuards: ReadonlySet<LeaseGuard>;
  #state: ControlState = EMPTY_CONTROL_STATE;
  #sentAppends: SentAppend[] = [];
  /** Monotonic time at which the present claim's last sign was read. */
  #holderSeenAtMs = -Infinity;
  /** Own authority lasts until then; -Infinity without one. */
  #authorityUntilMs = -Infinity;
  #authorityFromMs = Infinity;
  #lastRenewalSentMs = -Infinity;
  #lastClaimSentMs = -Infinity;
  #wantsLease = true;

  constructor(options: LeaseOptions) {
    this.#options = options;
    this.#disabledGuards = options.disabledGuards ?? new Set();
  }

  get state(): ControlState {
    return this.#state;
  }

  /** The fencing number of orders: the offset of the own claim. */
  get fencing(): number {
    return this.#state.claim?.claimOffset ?? -1;
  }

  /** Whether the log names this process as the holder. */
  get isHolder(): boolean {
    const { claim } = this.#state;
    if (claim === null || claim.released) return false;
    return claim.vm === this.#options.vm &&
      claim.incarnation === this.#options.incarnation;
  }

  /** Monotonic time until which the lease surely lasts. */
  get authorityUntilMs(): number {
    return this.#authorityUntilMs;
  }

  /** Whether an order may be given at `nowMs`. To be asked in the turn that writes it. */
  hasAuthority(nowMs: number): boolean {
    if (!this.isHolder && !this.#disabledGuards.has("displacedEndsAuthority")) {
      return false;
    }
    if (
      nowMs < this.#authorityFromMs && !this.#disabledGuards.has("leaseWait")
    ) return false;
    if (this.#disabledGuards.has("leaseExpiry")) {
      return this.#authorityUntilMs !== -Infinity;
    }
    return nowMs < this.#authorityUntilMs;
  }

  /** Replaces the state by one from a snapshot; never goes back. */
  loadState(state: ControlState, nowMs: number): void {
    if (state.offset <= this.#state.offset) return;
    const wasHolder = this.isHolder;
    this.#state = state;
    this.#holderSeenAtMs = nowMs;
    if (wasHolder && !this.isHolder) this.#revokeAuthority();
  }

  /** Takes in the next record of the stream, read at `nowMs`. */
  applyRecord(record: OffsetRecord, nowMs: number): void {
    const before = this.#state.claim;
    this.#state = applyControlRecord(this.#state, record);
    const { claim } = this.#state;
    if (claim === null || claim === before) return;
    this.#holderSeenAtMs = nowMs;
    const vacant = before === null || before.released;
    if (claim.claimOffset !== before?.claimOffset) {
      this.#handleNewClaim(record, nowMs, vacant);
    } else if (this.isHolder) this.#extendAuthority(record);
    if (claim.released) this.#revokeAuthority();
  }

  /**
   * Asks for what is to be appended now. `logReadAtMs` is the monotonic time at which the
   * last read that reached the end of the stream was *sent*.
   */
  tick(nowMs: number, logReadAtMs: number): LeaseAction[] {
    this.#dropOldSends(nowMs);
    if (!this.#wantsLease) return [];
    if (this.isHolder) return this.#buildRenewal(nowMs);
    return this.#buildClaim(nowMs, logReadAtMs);
  }

  /** Gives the lease up for good, as a graceful shutdown does. */
  resign(): LeaseAction[] {
    this.#wantsLease = false;
    const wasHolder = this.isHolder;
    this.#revokeAuthority();
    if (!wasHolder) return [];
    return [this.#buildAppend({
      type: "release",
      format: CONTROL_FORMAT,
      id: this.#options.createId(),
      claimOffset: this.fencing,
    })];
  }

  #buildRenewal(nowMs: number): LeaseAction[] {
    if (nowMs - this.#lastRenewalSentMs < this.#options.renewMs) return [];
    this.#lastRenewalSentMs = nowMs;
    const id = this.#options.createId();
    this.#sentAppends.push({ id, sentAtMs: nowMs });
    if (this.#disabledGuards.has("renewalMustBeRead")) {
      this.#authorityUntilMs = nowMs + this.#options.durationMs;
    }
    return [this.#buildAppend({
      type: "renew",
      format: CONTROL_FORMAT,
      id,
      claimOffset: this.fencing,
    })];
  }

  #buildClaim(nowMs: number, logReadAtMs: number): LeaseAction[] {
    const { claim } = this.#state;
    const { durationMs, vm, incarnation, createId } = this.#options;
    const vacant = claim === null || claim.released;
    // The silence must have been observed: the reading has to be recent.
    if (nowMs - logReadAtMs > durationMs / 2) return [];
    if (!vacant && logReadAtMs - this.#holderSeenAtMs < durationMs) return [];
    if (nowMs - this.#lastClaimSentMs < durationMs / 2) return [];
    this.#lastClaimSentMs = nowMs;
    const id = createId();
    this.#sentAppends.push({ id, sentAtMs: nowMs });
    return [this.#buildAppend({
      type: "claim",
      format: CONTROL_FORMAT,
      id,
      vm,
      incarnation,
      replaces: claim?.claimOffset ?? -1,
      seenRenewal: this.#disabledGuards.has("claimNamesPredecessor")
        ? Number.MAX_SAFE_INTEGER
        : claim?.lastSignOffset ?? -1,
    })];
  }

  #buildAppend(record: ControlRecord): LeaseAction {
    return { kind: "append", record };
  }

  /** A claim has taken effect: ours or another's. */
  #handleNewClaim(record: OffsetRecord, nowMs: number, vacant: boolean): void {
    if (!this.isHolder) return this.#revokeAuthority();
    const { durationMs, driftMs } = this.#options;
    this.#authorityFromMs = vacant ? nowMs : nowMs + durationMs + driftMs;
    this.#extendAuthority(record);
  }

  #extendAuthority(record: OffsetRecord): void {
    const id = (record.data as { id?: string } | null)?.id;
    const sent = this.#sentAppends.find((entry) => entry.id === id);
    if (sent === undefined) return;
    const fromMs = this.#disabledGuards.has("countFromSend")
      ? this.#holderSeenAtMs
      : sent.sentAtMs;
    this.#authorityUntilMs = Math.max(
      this.#authorityUntilMs,
      fromMs + this.#options.durationMs,
    );
  }

  #revokeAuthority(): void {
    if (this.#disabledGuards.has("displacedEndsAuthority")) return;
    this.#authorityUntilMs = -Infinity;
    this.#authorityFromMs = Infinity;
  }

  #dropOldSends(nowMs: number): void {
    const limit = nowMs - this.#options.durationMs * SENT_RETENTION_LEASE_TIMES;
    this.#sentAppends = this.#sentAppends.filter((entry) =>
      entry.sentAtMs >= limit
    );
  }
}
