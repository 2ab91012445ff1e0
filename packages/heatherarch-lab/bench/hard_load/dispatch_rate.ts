/**
 * The rate at which a VM dispatches while calls wait, as the design page describes it.
 *
 * @module
 */

/** Time over which the rate is averaged, milliseconds. */
const AVERAGING_MS = 1000;
/** The rate is unknown with fewer dispatches than this. */
const MIN_DISPATCHES = 8;
/** A wait that ended longer ago says nothing about the present, milliseconds. */
const MAX_PAUSE_MS = 1000;

/** Dispatches of one VM while calls wait. */
export class DispatchRate {
  #count = 0;
  #ratePerMs = 0;
  /** Time in which calls waited, milliseconds. */
  #waitedMs = 0;
  #updatedAtMs = 0;

  /** Records that calls waited until now, and whether one was dispatched. */
  record(nowMs: number, dispatches: number): void {
    const elapsedMs = nowMs - this.#updatedAtMs;
    this.#updatedAtMs = nowMs;
    if (elapsedMs > MAX_PAUSE_MS) {
      this.#count = 0;
      this.#ratePerMs = 0;
      this.#waitedMs = 0;
    }
    this.#waitedMs += elapsedMs;
    this.#count += dispatches;
    this.#ratePerMs = this.#ratePerMs * Math.exp(-elapsedMs / AVERAGING_MS) +
      dispatches / AVERAGING_MS;
  }

  /** Starts to measure at the arrival of a call that has to wait. */
  start(nowMs: number): void {
    if (nowMs - this.#updatedAtMs > MAX_PAUSE_MS) this.record(nowMs, 0);
    this.#updatedAtMs = nowMs;
  }

  /** Calls per millisecond; undefined while it is unknown. */
  find(): number | undefined {
    if (this.#count < MIN_DISPATCHES) return undefined;
    // The average starts at 0, and is corrected for that.
    const covered = 1 - Math.exp(-this.#waitedMs / AVERAGING_MS);
    return this.#ratePerMs / Math.max(covered, 0.05);
  }
}
