/**
 * Learns each target's own speed, apart from its momentary slowdown.
 *
 * Addresses targets that are faster or slower than others for as long as they run.
 *
 * @module
 */

/** Completed work of a target. */
export interface SpeedSample {
  readonly tookMs: number;
  /** Usual time of such work, milliseconds. */
  readonly expectedMs: number;
  /** Slowdown of the target while it did the work. */
  readonly slowdown: number;
}

/** Bounds of a target's own factor. Engines of one fleet differ by factors of 0.6 to 1.6. */
const FACTOR_BOUNDS = { min: 0.25, max: 4 };
/** Weight of a sample: some 20 calls show a target's speed, and one outlier does not. */
const SAMPLE_WEIGHT = 0.05;
/**
 * Targets that are kept, more than a fleet has (3,700). A call that ends after its target has left
 * adds the target again, and nothing removes it then. The least recently learned one goes.
 */
const MAX_TARGETS = 8192;

/** Own speeds of targets, as factors of the usual time. */
export class TargetSpeeds {
  /** Logarithms of the factors. */
  readonly #factors = new Map<string, number>();

  /** Learns from a duration, after removing the slowdown of that moment. */
  learn(target: string, sample: SpeedSample): void {
    const { tookMs, expectedMs, slowdown } = sample;
    const factor = tookMs / (expectedMs * slowdown);
    if (!(factor > 0) || !Number.isFinite(factor)) return;
    const before = this.#factors.get(target) ?? 0;
    const step = Math.log(clamp(factor)) - before;
    // Insertion order is the order of the last learning.
    this.#factors.delete(target);
    this.#factors.set(target, before + step * SAMPLE_WEIGHT);
    if (this.#factors.size <= MAX_TARGETS) return;
    const [oldest] = this.#factors.keys();
    this.#factors.delete(oldest);
  }

  /** Returns the factor by which work takes longer than usual; 1 until it is learned. */
  getFactor(target: string): number {
    return Math.exp(this.#factors.get(target) ?? 0);
  }

  /** Drops what is known of an incarnation that has ended. */
  forget(target: string): void {
    this.#factors.delete(target);
  }
}

function clamp(factor: number): number {
  return Math.min(FACTOR_BOUNDS.max, Math.max(FACTOR_BOUNDS.min, factor));
}
