/**
 * Seeded variation. Decision code never draws from the runtime's own source.
 *
 * @module
 */
import { xoroshiro128plus } from "pure-rand/generator/XoroShiro";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** A stream of pseudo-random numbers that a seed fixes. */
export class Random {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Uniform in [0, 1). */
  drawUnit(): number {
    return (this.#generator.unsafeNext() >>> 0) / 0x1_0000_0000;
  }

  /** Uniform integer in [low, high]. */
  drawInteger(low: number, high: number): number {
    return low + Math.floor(this.drawUnit() * (high - low + 1));
  }

  /** Exponentially distributed with the given mean. */
  drawExponential(mean: number): number {
    return -Math.log(1 - this.drawUnit()) * mean;
  }

  /** One of `items`, each as likely as the next. */
  drawItem<T>(items: readonly T[]): T {
    return items[this.drawInteger(0, items.length - 1)];
  }
}
