/**
 * Learns the usual time of each kind of work over all targets, with their slowdowns removed.
 *
 * @module
 */

/** Weight of a sample: the mean of some 30 calls of any target. */
const SAMPLE_WEIGHT = 0.03;
/** Kinds that are kept, more than routes in a configuration. The least recently learned one goes. */
const MAX_KINDS = 1000;

/** Usual times by kind of work. */
export class UsualTimes {
  readonly #timesMs = new Map<string, number>();

  /** Learns from a duration that is divided by the slowdown of that moment. */
  learn(kind: string, usualMs: number): void {
    if (!(usualMs > 0)) return;
    const before = this.#timesMs.get(kind) ?? usualMs;
    // Insertion order is the order of the last learning.
    this.#timesMs.delete(kind);
    this.#timesMs.set(kind, before + (usualMs - before) * SAMPLE_WEIGHT);
    if (this.#timesMs.size <= MAX_KINDS) return;
    const [oldest] = this.#timesMs.keys();
    this.#timesMs.delete(oldest);
  }

  /** Returns the usual time of a kind of work, milliseconds; undefined until it is learned. */
  find(kind: string): number | undefined {
    return this.#timesMs.get(kind);
  }
}
