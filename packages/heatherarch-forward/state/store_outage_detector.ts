/**
 * Judges whether entries that the list of targets names no more may have lapsed with the store,
 * although their targets live.
 *
 * Pure: time comes in with each update.
 *
 * @module
 */

/** Guards of the judgement; the proofs switch them off one at a time. */
export const STORE_OUTAGE_GUARDS = [
  "ownReadingFailed",
  "outageMakesLapse",
  "peersReadings",
] as const;
/** Name of a guard. */
export type StoreOutageGuard = typeof STORE_OUTAGE_GUARDS[number];

/** Options of {@linkcode StoreOutageDetector}. */
export interface StoreOutageDetectorOptions {
  /** Time between the writes with which a live target keeps its entry, milliseconds. */
  readonly targetHeartbeatMs?: number;
  /**
   * How long an entry that went missing during an outage of the store is still used after the
   * store is back, milliseconds. A live target is listed again within two seconds of it.
   */
  readonly recoveryGraceMs?: number;
  readonly disabledGuards?: ReadonlySet<StoreOutageGuard>;
}

/** As the platform's targets write where it does not say otherwise. */
const DEFAULT_TARGET_HEARTBEAT_MS = 1200;
const DEFAULT_RETURN_GRACE_MS = 2000;
/**
 * An entry lapses after three heartbeats of silence, of which one may have passed before the
 * store went away: in them it must have been away for the other two, at once or in turns.
 */
const LAPSE_HEARTBEATS = 3;
const AWAY_HEARTBEATS = 2;
/**
 * In a shorter time without a reading a target misses one write at most, and a VM whose own reading
 * fails can't tell it from the pause between its peers' readings.
 */
const MIN_GAP_HEARTBEATS = 1;

/** A time in which nobody is known to have read. */
interface Gap {
  readonly fromMs: number;
  readonly untilMs: number;
}

/**
 * Outages of the store as the fleet sees them.
 *
 * That one VM can't read says nothing of the store. An outage is believed only where this VM's
 * own reading failed and nobody, as far as this VM hears, has read for so long that entries may
 * have lapsed. Without both, VMs called targets up to 3.3 s after these had left, where 3 s are
 * allowed (80 VMs, a release of engines while the store refused two hubs).
 */
export class StoreOutageDetector {
  readonly #heartbeatMs: number;
  readonly #returnGraceMs: number;
  readonly #disabledGuards: ReadonlySet<StoreOutageGuard>;
  #isFailing = false;
  /** Outages of the last heartbeats. */
  #gaps: Gap[] = [];
  /** Last reading of anybody, and of this VM. */
  #readAtMs = -Infinity;
  #ownReadAtMs = -Infinity;
  #graceUntilMs = -Infinity;

  constructor(options: StoreOutageDetectorOptions = {}) {
    this.#heartbeatMs = options.targetHeartbeatMs ??
      DEFAULT_TARGET_HEARTBEAT_MS;
    this.#returnGraceMs = options.recoveryGraceMs ?? DEFAULT_RETURN_GRACE_MS;
    this.#disabledGuards = options.disabledGuards ?? new Set();
  }

  /** This VM's own reading failed. Returns whether the one before had not. */
  recordOwnFailure(): boolean {
    const isNews = !this.#isFailing;
    this.#isFailing = true;
    return isNews;
  }

  /** This VM has read the list without fault at `atMs`, or is told it as it was then. */
  recordOwnRead(atMs: number): void {
    const isNewest = atMs >= this.#readAtMs;
    this.#noteAnyRead(atMs);
    if (!isNewest) return;
    this.#isFailing = false;
    this.#ownReadAtMs = atMs;
  }

  /** A peer has read the list without fault at `atMs` of this VM's clock. */
  recordPeerRead(atMs: number): void {
    if (!this.#isOff("peersReadings")) this.#noteAnyRead(atMs);
  }

  #noteAnyRead(atMs: number): void {
    if (atMs <= this.#readAtMs) return;
    const gap = { fromMs: this.#readAtMs, untilMs: atMs };
    const isInGrace = this.#readAtMs < this.#graceUntilMs;
    this.#readAtMs = atMs;
    if (!this.#isOutage(gap)) return;
    this.#gaps.push(gap);
    // Before entries are back, a further outage keeps them away.
    if (isInGrace || this.#mayLapse(atMs)) {
      this.#graceUntilMs = atMs + this.#returnGraceMs;
    }
  }

  #isOutage({ fromMs, untilMs }: Gap): boolean {
    if (!this.#isFailing && !this.#isOff("ownReadingFailed")) return false;
    if (this.#isOff("outageMakesLapse")) return true;
    return untilMs - fromMs >= this.#heartbeatMs * MIN_GAP_HEARTBEATS;
  }

  /** Whether the store was away for so much of a lapse that live targets could not write. */
  #mayLapse(nowMs: number): boolean {
    if (this.#isOff("outageMakesLapse")) return true;
    const sinceMs = nowMs - this.#heartbeatMs * LAPSE_HEARTBEATS;
    this.#gaps = this.#gaps.filter(({ untilMs }) => untilMs > sinceMs);
    const awayMs = this.#gaps.reduce(
      (sum, { fromMs, untilMs }) => sum + untilMs - Math.max(fromMs, sinceMs),
      0,
    );
    return awayMs >= this.#heartbeatMs * AWAY_HEARTBEATS;
  }

  /** Whether an entry that is missing at `nowMs` may belong to a live target. */
  isInGrace(nowMs: number): boolean {
    if (nowMs < this.#graceUntilMs) return true;
    // This VM has not seen since whether they are back: it changes nothing until it reads.
    return this.#isFailing && this.#ownReadAtMs < this.#graceUntilMs;
  }

  #isOff(guard: StoreOutageGuard): boolean {
    return this.#disabledGuards.has(guard);
  }
}
