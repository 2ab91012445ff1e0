/**
 * How long an engine takes to read a prompt.
 *
 * @module
 */

/** Options of {@linkcode PrefillTimeModel}. */
export interface PrefillTimeModelOptions {
  /** Prompt tokens an engine reads in a millisecond. */
  readonly tokensPerMs?: number;
  /** Time of attention over a million pairs of tokens, milliseconds. */
  readonly pairMsPerMillion?: number;
  /** Fixed time for which one prompt occupies an engine, milliseconds. */
  readonly baseMs?: number;
  /** Time from the end of a reading to its answer, while the engine reads others, milliseconds. */
  readonly latencyMs?: number;
}

/** A reading as it was predicted and as it went. Times are milliseconds. */
export interface PrefillSample {
  /** Time for which the prompt itself was to occupy the engine. */
  readonly costMs: number;
  /** Wait for what the engine had been given before. */
  readonly backlogMs: number;
  /** Time from the request to its answer. */
  readonly tookMs: number;
}

/** A long reading as it was predicted and as it went. Times are milliseconds. */
export interface UnloadedSample {
  /** Time that it was to take by itself. */
  readonly unloadedMs: number;
  readonly backlogMs: number;
  readonly tookMs: number;
}

/**
 * Where learning starts: the engines of the users' first sheets (70B model, four accelerators).
 * Prompts that wait together share a step, so each one's share of its fixed time is small.
 */
const DEFAULTS = {
  tokensPerMs: 61.8,
  pairMsPerMillion: 0.367,
  baseMs: 3,
  latencyMs: 10,
};
/**
 * Weights of a sample that is faster or slower than believed. Work of peers that is not known
 * yet makes a reading longer and nothing makes it shorter, so fast samples weigh more.
 */
const FASTER_WEIGHT = 0.08;
const SLOWER_WEIGHT = 0.05;
/**
 * Weight by which the factor of engines that are not known yet follows each sample, and the
 * factors within which a sample counts: one slow engine among several does not make all slow.
 */
const COMMON_WEIGHT = 0.05;
const COMMON_BOUNDS = { least: 0.8, most: 1.25 };
/**
 * Weights by which the own factor follows a long reading that was faster or slower than believed.
 * Work that this VM does not know of makes a reading longer and nothing makes it shorter.
 */
const FASTER_ALONE_WEIGHT = 0.15;
const SLOWER_ALONE_WEIGHT = 0.08;
/** One long reading counts for a factor of 1.5 at most: it may have met a fault. */
const MAX_LOG_ERROR = 0.4;
/** A prompt that took less than this part of its time was held, against what was believed. */
const HELD_PART = 0.5;
/** A sample outside these factors says more of a queue or a fault than of the engine. */
const FACTOR_BOUNDS = { least: 0.5, most: 8 };
/** Shorter readings say more of the latency than of the engine's speed, milliseconds. */
const MIN_SPEED_SAMPLE_MS = 20;
/** A reading with less before it shows the latency, milliseconds. */
const MAX_LATENCY_BACKLOG_MS = 5;
/** Weights of a shorter and of a longer latency than believed: the least one is looked for. */
const SHORTER_WEIGHT = 0.1;
const LONGER_WEIGHT = 0.01;
const LOG_ERROR_BOUNDS = { least: -MAX_LOG_ERROR, most: MAX_LOG_ERROR };
const MILLION = 1e6;

/**
 * Predicts reading times and learns how far single engines are off. The latency is kept apart:
 * it is most of the time of a short prompt that is read alone, and occupies nothing. Taken for
 * occupancy it books long prompts at twice their time and leaves engines idle.
 *
 * Two factors are learned of an engine. One, from short prompts, holds waits behind work that this
 * VM does not know of: it is booked, so that engines are not given too much. The other, from long
 * prompts, is the engine's own.
 */
export class PrefillTimeModel {
  readonly #options: Required<PrefillTimeModelOptions>;
  readonly #factors = new Map<string, number>();
  readonly #ownFactors = new Map<string, number>();
  #commonFactor = 1;
  #commonOwnFactor = 1;
  #latencyMs: number;

  constructor(options: PrefillTimeModelOptions = {}) {
    this.#options = { ...DEFAULTS, ...options };
    this.#latencyMs = this.#options.latencyMs;
  }

  /**
   * Time to be booked for reading `fresh` tokens behind `cached` ones. Waits that this VM does not
   * foresee are in it, so that an engine is not given more than it reads.
   */
  predictMs(target: string, fresh: number, cached: number): number {
    return this.#computePlainMs(fresh, cached) * this.getSlowdown(target);
  }

  /** Time for which an engine that has nothing else to do reads. */
  predictUnloadedMs(target: string, fresh: number, cached: number): number {
    const factor = Math.min(
      this.getUnloadedSlowdown(target),
      this.getSlowdown(target),
    );
    return this.#computePlainMs(fresh, cached) * factor;
  }

  /** Time from the end of a reading to its answer, milliseconds. */
  get latencyMs(): number {
    return this.#latencyMs;
  }

  /** How much longer than predicted a reading takes, unforeseen waits included. */
  getSlowdown(target: string): number {
    return this.#factors.get(target) ?? this.#commonFactor;
  }

  /** How much longer than predicted an engine takes by itself. */
  getUnloadedSlowdown(target: string): number {
    return this.#ownFactors.get(target) ?? this.#commonOwnFactor;
  }

  /**
   * Takes in a long reading, alone on its engine as far as is known. How much of the prompt the
   * engine held is a belief.
   */
  learnUnloaded(target: string, sample: UnloadedSample): void {
    const { unloadedMs: aloneMs, backlogMs, tookMs } = sample;
    if (backlogMs > aloneMs) return;
    const readMs = Math.max(1, tookMs - this.#latencyMs - backlogMs);
    if (readMs < aloneMs * HELD_PART) return;
    const error = limit(Math.log(readMs / aloneMs), LOG_ERROR_BOUNDS);
    const weight = error < 0 ? FASTER_ALONE_WEIGHT : SLOWER_ALONE_WEIGHT;
    const step = Math.exp(error * weight);
    this.#ownFactors.set(
      target,
      limit(this.getUnloadedSlowdown(target) * step, FACTOR_BOUNDS),
    );
    this.#commonOwnFactor = limit(this.#commonOwnFactor * step, FACTOR_BOUNDS);
  }

  /** Takes in a reading. */
  learn(target: string, sample: PrefillSample): void {
    const { costMs, backlogMs, tookMs } = sample;
    const predictedMs = backlogMs + costMs;
    if (backlogMs <= MAX_LATENCY_BACKLOG_MS) {
      this.#learnLatency(tookMs - predictedMs);
    }
    if (predictedMs < MIN_SPEED_SAMPLE_MS) return;
    const before = this.getSlowdown(target);
    const found = before * (tookMs - this.#latencyMs) / predictedMs;
    const bounded = limit(found, FACTOR_BOUNDS);
    const weight = bounded < before ? FASTER_WEIGHT : SLOWER_WEIGHT;
    const after = before + (bounded - before) * weight;
    this.#factors.set(target, after);
    const common = limit(bounded / this.#commonFactor, COMMON_BOUNDS);
    this.#commonFactor *= 1 + (common - 1) * COMMON_WEIGHT;
  }

  forget(target: string): void {
    this.#factors.delete(target);
    this.#ownFactors.delete(target);
  }

  #computePlainMs(fresh: number, cached: number): number {
    const { tokensPerMs, pairMsPerMillion, baseMs } = this.#options;
    const pairs = fresh * (cached + fresh / 2);
    return baseMs + fresh / tokensPerMs + pairs / MILLION * pairMsPerMillion;
  }

  #learnLatency(sampleMs: number): void {
    const isShorter = sampleMs < this.#latencyMs;
    const weight = isShorter ? SHORTER_WEIGHT : LONGER_WEIGHT;
    const after = this.#latencyMs + (sampleMs - this.#latencyMs) * weight;
    this.#latencyMs = Math.max(0, after);
  }
}

function limit(value: number, bounds: { least: number; most: number }): number {
  return Math.min(bounds.most, Math.max(bounds.least, value));
}
