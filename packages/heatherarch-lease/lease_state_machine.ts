/**
 * State machine that decides when one VM may claim, renew and act under the lease of its
 * availability zone. It is pure: its inputs are records read from the log and monotonic time, and
 * its outputs are records to append. It does not use the wall clock.
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

/** Options of {@linkcode LeaseStateMachine}. */
export interface LeaseOptions {
  readonly vm: string;
  readonly incarnation: string;
  /** Duration of the lease after a claim or renewal. */
  readonly durationMs: number;
  /** Upper bound on the drift between the monotonic clocks of two VMs within one lease. */
  readonly driftMs: number;
  /** Interval between renewals. */
  readonly renewMs: number;
  /**
   * Whether a new holder waits until the lease of its predecessor has expired by any clock; by
   * default it does. Where all requests with a lower fencing token are refused, it need not.
   */
  readonly waitsForPredecessor?: boolean;
  /** Creates record ids. */
  readonly createId: () => string;
  /** Guards that the proofs disable to show that each is needed. Empty in production. */
  readonly disabledGuards?: ReadonlySet<LeaseGuard>;
}

/** Safety rules of the lease. */
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

/** Action that the caller carries out for the state machine. */
export interface LeaseAction {
  readonly kind: "append";
  readonly record: ControlRecord;
}

interface SentAppend {
  readonly id: string;
  readonly sentAtMs: number;
}

/** Sent appends are dropped after this many lease durations. */
const SENT_RETENTION_LEASE_TIMES = 4;

/** The lease from the point of view of one VM. */
export class LeaseStateMachine {
  readonly #options: LeaseOptions;
  readonly #disabledGuards: ReadonlySet<LeaseGuard>;
  #state: ControlState = EMPTY_CONTROL_STATE;
  #sentAppends: SentAppend[] = [];
  /** Monotonic time at which the last record of the current claim was read. */
  #holderSeenAtMs = -Infinity;
  /** Monotonic time at which this VM's authority ends; -Infinity without authority. */
  #authorityUntilMs = -Infinity;
  /** Monotonic time at which this VM's authority begins; Infinity without authority. */
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

  /** Fencing token of orders: the offset of the current claim, -1 for none. */
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

  /** Whether the log shows that nobody holds the lease. */
  get isVacant(): boolean {
    const { claim, unknownSignOffset } = this.#state;
    return claim === null ? unknownSignOffset === undefined : claim.released;
  }

  /** Monotonic time until which the lease is guaranteed to be held. */
  get authorityUntilMs(): number {
    return this.#authorityUntilMs;
  }

  /**
   * Whether an order may be given at `nowMs`. The caller must check this in the event loop turn that
   * writes the order.
   */
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

  /** Replaces the state by a newer one from a snapshot; ignores an older one. */
  loadState(state: ControlState, nowMs: number): void {
    if (state.offset <= this.#state.offset) return;
    const wasHolder = this.isHolder;
    this.#state = state;
    this.#holderSeenAtMs = nowMs;
    if (wasHolder && !this.isHolder) this.#revokeAuthority();
  }

  /** Applies the next record of the stream, which was read at `nowMs`. */
  applyRecord(record: OffsetRecord, nowMs: number): void {
    const { claim: before, unknownSignOffset } = this.#state;
    this.#state = applyControlRecord(this.#state, record);
    const { claim } = this.#state;
    if (this.#state.unknownSignOffset !== unknownSignOffset) {
      this.#holderSeenAtMs = nowMs;
    }
    if (claim === null || claim === before) return;
    this.#holderSeenAtMs = nowMs;
    const wasVacant = before === null
      ? unknownSignOffset === undefined
      : before.released;
    if (claim.claimOffset !== before?.claimOffset) {
      this.#handleNewClaim(record, nowMs, wasVacant);
    } else if (this.isHolder) this.#extendAuthority(record);
    if (claim.released) this.#revokeAuthority();
  }

  /**
   * Returns the records to append now. `logReadAtMs` is the monotonic time at which the last read
   * that reached the end of the stream was *sent*.
   */
  tick(nowMs: number, logReadAtMs: number): LeaseAction[] {
    this.#dropOldAppends(nowMs);
    if (!this.#wantsLease) return [];
    if (this.isHolder) return this.#buildRenewal(nowMs);
    return this.#buildClaim(nowMs, logReadAtMs);
  }

  /** Releases the lease permanently, for a graceful shutdown. */
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
    const isVacant = this.isVacant;
    // The absence of renewals must have been observed, so the last read of the log must be recent.
    if (nowMs - logReadAtMs > durationMs / 2) return [];
    if (!isVacant && logReadAtMs - this.#holderSeenAtMs < durationMs) return [];
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
        : this.#state.offset,
    })];
  }

  #buildAppend(record: ControlRecord): LeaseAction {
    return { kind: "append", record };
  }

  /** Handles a claim of this or another VM that took effect. */
  #handleNewClaim(
    record: OffsetRecord,
    nowMs: number,
    wasVacant: boolean,
  ): void {
    if (!this.isHolder) return this.#revokeAuthority();
    const { durationMs, driftMs, waitsForPredecessor = true } = this.#options;
    const mayActAtOnce = wasVacant || !waitsForPredecessor;
    this.#authorityFromMs = mayActAtOnce ? nowMs : nowMs + durationMs + driftMs;
    this.#extendAuthority(record);
  }

  /** Extends this VM's authority if the record is a claim or renewal that this VM sent. */
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

  #dropOldAppends(nowMs: number): void {
    const oldestMs = nowMs -
      this.#options.durationMs * SENT_RETENTION_LEASE_TIMES;
    this.#sentAppends = this.#sentAppends.filter((entry) =>
      entry.sentAtMs >= oldestMs
    );
  }
}
