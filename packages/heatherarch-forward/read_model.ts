/**
 * How long an engine takes to read a prompt.
 *
 * @module
 */

/** Options of {@linkcode ReadModel}. */
export interface ReadModelOptions {
  /** Prompt tokens an engine reads in a millisecond. */
  readonly tokensPerMs?: number;
  /** Time of attention over a million pairs of tokens, milliseconds. */
  readonly pairMsPerMillion?: number;
  /** Fixed time of one prompt, milliseconds. */
  readonly baseMs?: number;
}

/** Figures of the engines in the users' sheets (70B model, four accelerators). */
const DEFAULTS = { tokensPerMs: 61.8, pairMsPerMillion: 0.367, baseMs: 6 };
/**
 * Weights of a sample that is faster or slower than believed. Whatever else an engine does makes
 * a reading longer and nothing makes it shorter, so the fast samples tell the engine's own speed.
 */
const FASTER_WEIGHT = 0.3;
const SLOWER_WEIGHT = 0.04;
/** A sample outside these factors says more of a queue or a fault than of the engine. */
const FACTOR_BOUNDS = { least: 0.5, most: 8 };
const MILLION = 1e6;

/** Predicts reading times and learns how far single engines are off. */
export class ReadModel {
  readonly #options: Required<ReadModelOptions>;
  readonly #factors = new Map<string, number>();

  constructor(options: ReadModelOptions = {}) {
    this.#options = { ...DEFAULTS, ...options };
  }

  /** Time to read `fresh` tokens behind `cached` ones at an engine, milliseconds. */
  predictMs(target: string, fresh: number, cached: number): number {
    const { tokensPerMs, pairMsPerMillion, baseMs } = this.#options;
    const pairs = fresh * (cached + fresh / 2);
    const plainMs = baseMs + fresh / tokensPerMs +
      pairs / MILLION * pairMsPerMillion;
    return plainMs * this.getFactor(target);
  }

  /** How much slower than predicted an engine reads. */
  getFactor(target: string): number {
    return this.#factors.get(target) ?? 1;
  }

  /** Takes in a reading that found no other before it. */
  learn(target: string, predictedMs: number, measuredMs: number): void {
    const before = this.getFactor(target);
    const sample = before * measuredMs / Math.max(1, predictedMs);
    const { least, most } = FACTOR_BOUNDS;
    const bounded = Math.min(most, Math.max(least, sample));
    const weight = bounded < before ? FASTER_WEIGHT : SLOWER_WEIGHT;
    this.#factors.set(target, before + (bounded - before) * weight);
  }

  forget(target: string): void {
    this.#factors.delete(target);
  }
}
