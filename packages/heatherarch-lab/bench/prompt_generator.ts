/**
 * Draws the prompts of a model: a shared beginning, of one size for all that share it, and a part
 * of the call's own.
 *
 * @module
 */
import type { Random } from "heatherarch-core";
import type { GenerationParams } from "heatherarch-forward";
import type { OverloadRequestKind } from "./overload_result.ts";

/** Prompts of all kinds of one run. */
export class PromptGenerator {
  readonly #random: Random;
  readonly #sharedSizes = new Map<string, number>();

  constructor(random: Random) {
    this.#random = random;
  }

  /** A prompt of that kind. */
  draw(kind: OverloadRequestKind): GenerationParams {
    const id = `${kind.name}-${
      this.#random.drawInteger(0, kind.prefixCount - 1)
    }`;
    let shared = this.#sharedSizes.get(id);
    if (shared === undefined) {
      shared = this.#drawSize(kind.sharedTokens, kind.sharedTokensCv);
      this.#sharedSizes.set(id, shared);
    }
    const own = this.#drawSize(kind.uniqueTokens, kind.uniqueTokensCv);
    return {
      model: "m",
      promptTokens: shared + own,
      maxOutputTokens: 20,
      parts: [{ id, tokens: shared }, { id: "own", tokens: own }],
    };
  }

  /** Lognormal by its mean and its standard deviation as a part of the mean. */
  #drawSize(mean: number, spread: number): number {
    const variance = Math.log(1 + spread * spread);
    const a = Math.sqrt(-2 * Math.log(1 - this.#random.drawUnit()));
    const normal = a * Math.cos(2 * Math.PI * this.#random.drawUnit());
    const size = mean * Math.exp(normal * Math.sqrt(variance) - variance / 2);
    return Math.max(1, Math.round(size));
  }
}
