/**
 * Decides whether a read of the store shows that the configuration in force is the newest one. After
 * a restore the store may lack the newest one until the operator writes it again. The module has no
 * clock: each update carries the time.
 *
 * @module
 */

/** Time within which the operator writes again what a restored store lacks, milliseconds. */
const REWRITE_MS = 2000;

/** What reads of the store have shown in its present epoch. */
export class ConfigConfirmation {
  /** Newest version that the store has shown. */
  #storeVersion = -1;
  /** Monotonic time from which reads confirm anything. */
  #fromMs = -Infinity;

  /** Records that the store came back from a copy, or may have done so right before. */
  recordRestoration(nowMs: number): void {
    this.#storeVersion = -1;
    this.#fromMs = nowMs + REWRITE_MS;
  }

  /** Records a version that the store has shown. */
  recordVersion(version: number): void {
    this.#storeVersion = Math.max(this.#storeVersion, version);
  }

  /** Whether a read that was sent at `sentAtMs` shows that `version` is the newest one. */
  isConfirmed(version: number, sentAtMs: number): boolean {
    return version <= this.#storeVersion && sentAtMs >= this.#fromMs;
  }
}
