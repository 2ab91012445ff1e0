/**
 * Judges whether entries that the list of targets names no more may have lapsed with the store,
 * although their targets live.
 *
 * Pure: time comes in with each update.
 *
 * @module
 */

/** Options of {@linkcode StoreWatch}. */
export interface StoreWatchOptions {
  /** Time between the writes with which a live target keeps its entry, milliseconds. */
  readonly targetHeartbeatMs?: number;
  /**
   * How long an entry that went missing during an outage of the store is still used after the
   * store is back, milliseconds. A live target is listed again within two seconds of it.
   */
  readonly returnGraceMs?: number;
}

/** As the platform's targets write where it does not say otherwise. */
const DEFAULT_TARGET_HEARTBEAT_MS = 1200;
const DEFAULT_RETURN_GRACE_MS = 2000;
/**
 * An entry lapses after three heartbeats of silence, of which one may have passed before the
 * store went away: an outage shorter than the other two makes no entry of a live target lapse.
 */
const HEARTBEATS_TO_LAPSE = 2;

/**
 * Outages of the store as the fleet sees them.
 *
 * That one VM can't read says nothing of the store. An outage is believed only where this VM's
 * own reading failed and nobody, as far as this VM hears, has read for so long that entries may
 * have lapsed. Without both, VMs kept targets that had left 3.3 s ago where 3 s are allowed.
 */
export class StoreWatch {
  readonly #minOutageMs: number;
  readonly #returnGraceMs: number;
  #isFailing = false;
  #readAtMs = -Infinity;
  #graceUntilMs = -Infinity;

  constructor(options: StoreWatchOptions = {}) {
    const heartbeatMs = options.targetHeartbeatMs ??
      DEFAULT_TARGET_HEARTBEAT_MS;
    this.#minOutageMs = heartbeatMs * HEARTBEATS_TO_LAPSE;
    this.#returnGraceMs = options.returnGraceMs ?? DEFAULT_RETURN_GRACE_MS;
  }

  /** This VM's own reading failed. Returns whether the one before had not. */
  noteFailure(): boolean {
    const isNews = !this.#isFailing;
    this.#isFailing = true;
    return isNews;
  }

  /** This VM has read the list without fault, or is told it by one that has. */
  noteOwnRead(nowMs: number): void {
    this.noteRead(nowMs);
    this.#isFailing = false;
  }

  /** Somebody has read the list without fault at `atMs` of this VM's clock. */
  noteRead(atMs: number): void {
    if (atMs <= this.#readAtMs) return;
    const wasAway = atMs - this.#readAtMs >= this.#minOutageMs;
    if (this.#isFailing && wasAway) {
      this.#graceUntilMs = atMs + this.#returnGraceMs;
    }
    this.#readAtMs = atMs;
  }

  /** Until when an entry that is missing now may belong to a live target; -Infinity if it can't. */
  findGraceEnd(nowMs: number): number {
    return nowMs < this.#graceUntilMs ? this.#graceUntilMs : -Infinity;
  }
}
