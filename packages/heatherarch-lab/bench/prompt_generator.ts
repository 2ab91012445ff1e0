/**
 * Draws random prompts. Each has a shared prefix, whose size is the same for all prompts that share
 * it, and a unique part.
 *
 * @module
 */
import type { Random } from "heatherarch-core";
import type { GenerationParams } from "heatherarch-forward";
import type { OverloadRequestKind } from "./overload_result.ts";

/** Draws the prompts of all kinds of request of one simulation. */
export class PromptGenerator {
  readonly #random: Random;
  readonly #sharedSizes = new Map<string, number>();

  constructor(random: Random) {
    this.#random = random;
  }

  /** Draws a prompt of `kind`. */
  draw(kind: OverloadRequestKind): GenerationParams {
    const id = `${kind.name}-${
      this.#random.drawInteger(0, kind.prefixCount - 1)
    }`;
    let shared = this.#sharedSizes.get(id);
    if (shared === undefined) {
      shared = this.#drawSize(kind.sharedTokens, kind.sharedTokensCv);
      this.#sharedSizes.set(id, shared);
    }
    const unique = this.#drawSize(kind.uniqueTokens, kind.uniqueTokensCv);
    return {
      model: "m",
      promptTokens: shared + unique,
      maxOutputTokens: 20,
      parts: [{ id, tokens: shared }, { id: "own", tokens: unique }],
    };
  }

  /** Draws a lognormal size from its mean and its coefficient of variation. */
  #drawSize(mean: number, cv: number): number {
    const variance = Math.log(1 + cv * cv);
    const radius = Math.sqrt(-2 * Math.log(1 - this.#random.drawUnit()));
    const normal = radius * Math.cos(2 * Math.PI * this.#random.drawUnit());
    const size = mean * Math.exp(normal * Math.sqrt(variance) - variance / 2);
    return Math.max(1, Math.round(size));
  }
}
