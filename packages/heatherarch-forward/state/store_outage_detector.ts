/**
 * Decides whether entries that are missing from the target list may have expired because of an
 * outage of the store, although their targets are still running.
 *
 * The module has no clock: each update carries the time.
 *
 * @module
 */

/** Conditions of the decision. The proofs disable them one at a time. */
export const STORE_OUTAGE_GUARDS = [
  "ownReadingFailed",
  "outageMakesLapse",
  "peersReadings",
] as const;
/** Name of a condition that a proof can disable. */
export type StoreOutageGuard = typeof STORE_OUTAGE_GUARDS[number];

/** Options of {@linkcode StoreOutageDetector}. */
export interface StoreOutageDetectorOptions {
  /** Interval between the writes with which a running target renews its entry, milliseconds. */
  readonly targetHeartbeatMs?: number;
  /**
   * Time for which an entry that went missing during a store outage is still used after the store
   * recovers, milliseconds. A running target is listed again within two seconds of the recovery.
   */
  readonly recoveryGraceMs?: number;
  readonly disabledGuards?: ReadonlySet<StoreOutageGuard>;
}

/** Default write interval of the platform's targets. */
const DEFAULT_TARGET_HEARTBEAT_MS = 1200;
const DEFAULT_RECOVERY_GRACE_MS = 2000;
/**
 * An entry expires after three heartbeat intervals without a write, one of which may have passed
 * before the outage. Within these intervals the store must have been unavailable for the other two,
 * in one outage or in several.
 */
const EXPIRY_HEARTBEATS = 3;
const MIN_OUTAGE_HEARTBEATS = 2;
/**
 * Shortest gap between reads that counts as an outage. In a shorter one a target misses at most one
 * write, and a VM whose own reads fail cannot distinguish it from the interval between its peers'
 * reads.
 */
const MIN_GAP_HEARTBEATS = 1;

/** A period in which no VM is known to have read the list. */
interface Gap {
  readonly fromMs: number;
  readonly untilMs: number;
}

/**
 * Detects outages of the store from the reads of the whole fleet.
 *
 * A failed read on one VM does not prove an outage of the store. An outage is assumed only if this
 * VM's own read failed and no VM is known to have read for so long that entries may have expired.
 * Without both conditions, VMs sent calls to targets up to 3.3 s after these had left, where 3 s
 * are allowed (80 VMs, a release of engines while the store refused two hubs).
 */
export class StoreOutageDetector {
  readonly #heartbeatMs: number;
  readonly #recoveryGraceMs: number;
  readonly #disabledGuards: ReadonlySet<StoreOutageGuard>;
  #isFailing = false;
  /** Outages within the last heartbeat intervals. */
  #gaps: Gap[] = [];
  /** Times of the latest read by any VM, and by this VM. */
  #lastReadAtMs = -Infinity;
  #lastOwnReadAtMs = -Infinity;
  #graceUntilMs = -Infinity;

  constructor(options: StoreOutageDetectorOptions = {}) {
    this.#heartbeatMs = options.targetHeartbeatMs ??
      DEFAULT_TARGET_HEARTBEAT_MS;
    this.#recoveryGraceMs = options.recoveryGraceMs ??
      DEFAULT_RECOVERY_GRACE_MS;
    this.#disabledGuards = options.disabledGuards ?? new Set();
  }

  /** Records that this VM's own read failed. Returns whether its previous read had not failed. */
  recordOwnFailure(): boolean {
    const isFirst = !this.#isFailing;
    this.#isFailing = true;
    return isFirst;
  }

  /** Records that this VM read the list at `atMs`, or received a peer's copy of that time. */
  recordOwnRead(atMs: number): void {
    const isNewest = atMs >= this.#lastReadAtMs;
    this.#recordRead(atMs);
    if (!isNewest) return;
    this.#isFailing = false;
    this.#lastOwnReadAtMs = atMs;
  }

  /** Records that the store came back from a copy, which may lack entries of running targets. */
  recordRestoration(nowMs: number): void {
    this.#graceUntilMs = nowMs + this.#recoveryGraceMs;
  }

  /** Records that a peer read the list successfully at `atMs` of this VM's clock. */
  recordPeerRead(atMs: number): void {
    if (!this.#isDisabled("peersReadings")) this.#recordRead(atMs);
  }

  #recordRead(atMs: number): void {
    if (atMs <= this.#lastReadAtMs) return;
    const gap = { fromMs: this.#lastReadAtMs, untilMs: atMs };
    const isInGrace = this.#lastReadAtMs < this.#graceUntilMs;
    this.#lastReadAtMs = atMs;
    if (!this.#isOutage(gap)) return;
    this.#gaps.push(gap);
    // A further outage before the entries are written again delays them further.
    if (isInGrace || this.#mayHaveExpired(atMs)) {
      this.#graceUntilMs = atMs + this.#recoveryGraceMs;
    }
  }

  #isOutage({ fromMs, untilMs }: Gap): boolean {
    if (!this.#isFailing && !this.#isDisabled("ownReadingFailed")) return false;
    if (this.#isDisabled("outageMakesLapse")) return true;
    return untilMs - fromMs >= this.#heartbeatMs * MIN_GAP_HEARTBEATS;
  }

  /**
   * Whether the store was unavailable for so much of the expiry time that entries of running
   * targets may have expired.
   */
  #mayHaveExpired(nowMs: number): boolean {
    if (this.#isDisabled("outageMakesLapse")) return true;
    const sinceMs = nowMs - this.#heartbeatMs * EXPIRY_HEARTBEATS;
    this.#gaps = this.#gaps.filter(({ untilMs }) => untilMs > sinceMs);
    const outageMs = this.#gaps.reduce(
      (sum, { fromMs, untilMs }) => sum + untilMs - Math.max(fromMs, sinceMs),
      0,
    );
    return outageMs >= this.#heartbeatMs * MIN_OUTAGE_HEARTBEATS;
  }

  /** Whether an entry that is missing at `nowMs` may belong to a running target. */
  isInGrace(nowMs: number): boolean {
    if (nowMs < this.#graceUntilMs) return true;
    // This VM has not read since the outage, so it keeps missing entries until it does.
    return this.#isFailing && this.#lastOwnReadAtMs < this.#graceUntilMs;
  }

  #isDisabled(guard: StoreOutageGuard): boolean {
    return this.#disabledGuards.has(guard);
  }
}
