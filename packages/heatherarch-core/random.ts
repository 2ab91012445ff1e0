/**
 * Seeded random numbers. Code that makes decisions never uses the random source of the runtime.
 *
 * @module
 */
import { xoroshiro128plus } from "pure-rand/generator/XoroShiro";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Pseudo-random number generator whose sequence depends only on the seed. */
export class Random {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Draws a number that is uniform in [0, 1). */
  drawUnit(): number {
    return (this.#generator.unsafeNext() >>> 0) / 0x1_0000_0000;
  }

  /** Draws an integer that is uniform in [low, high]. */
  drawInteger(low: number, high: number): number {
    return low + Math.floor(this.drawUnit() * (high - low + 1));
  }

  /** Draws a number that is exponentially distributed with the given mean. */
  drawExponential(mean: number): number {
    return -Math.log(1 - this.drawUnit()) * mean;
  }

  /** Draws one of `items`, with the same probability for each. */
  drawItem<T>(items: readonly T[]): T {
    return items[this.drawInteger(0, items.length - 1)];
  }
}
