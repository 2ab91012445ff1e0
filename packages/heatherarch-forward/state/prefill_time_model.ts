/**
 * Predicts how long an engine takes to prefill a prompt.
 *
 * @module
 */

/** Options of {@linkcode PrefillTimeModel}. */
export interface PrefillTimeModelOptions {
  /** Prompt tokens that an engine prefills per millisecond. */
  readonly tokensPerMs?: number;
  /** Attention time per million token pairs, milliseconds. */
  readonly pairMsPerMillion?: number;
  /** Fixed time for which each prompt occupies an engine, milliseconds. */
  readonly baseMs?: number;
  /**
   * Time from the end of a prefill to its response, milliseconds. The engine prefills other prompts
   * meanwhile.
   */
  readonly latencyMs?: number;
}

/** Predicted and measured times of a prefill, milliseconds. */
export interface PrefillSample {
  /** Predicted time for which the prompt itself occupies the engine. */
  readonly costMs: number;
  /** Predicted wait for the prompts that were sent to the engine before. */
  readonly backlogMs: number;
  /** Measured time from the request to its response. */
  readonly tookMs: number;
  /**
   * Ratio of the engine's momentary slowdown during the prefill to the one in the predictions; 1 by
   * default.
   */
  readonly slowdownChange?: number;
}

/** Predicted and measured times of a long prefill, milliseconds. */
export interface UnloadedSample {
  /** Predicted time on an engine without other work. */
  readonly unloadedMs: number;
  readonly backlogMs: number;
  readonly tookMs: number;
  /** See {@linkcode PrefillSample}. */
  readonly slowdownChange?: number;
}

/**
 * Initial parameters: the engines of the users' first load specifications (a 70B model on four
 * accelerators). Prompts that wait together share an engine step, so each prompt's share of the
 * step's fixed time is small.
 */
const DEFAULT_OPTIONS = {
  tokensPerMs: 61.8,
  pairMsPerMillion: 0.367,
  baseMs: 3,
  latencyMs: 10,
};
/**
 * Weights of a sample that is faster or slower than the current estimate. Peers' work that this VM
 * does not know of yet makes a prefill longer, and nothing makes it shorter, so faster samples have
 * the higher weight.
 */
const FASTER_WEIGHT = 0.08;
const SLOWER_WEIGHT = 0.05;
/**
 * Weight with which each sample changes the slowdown assumed for engines without samples, and the
 * bounds of a sample's effect. The bounds keep one slow engine from making all new ones seem slow.
 */
const PRIOR_WEIGHT = 0.05;
const PRIOR_STEP_BOUNDS = { min: 0.8, max: 1.25 };
/**
 * Weights with which a long prefill that was faster or slower than the estimate changes the
 * unloaded slowdown. Work that this VM does not know of makes a prefill longer, and nothing makes
 * it shorter.
 */
const FASTER_UNLOADED_WEIGHT = 0.15;
const SLOWER_UNLOADED_WEIGHT = 0.08;
/** Limits one long prefill to a factor of about 1.5, as a fault may have delayed it. */
const MAX_LOG_ERROR = 0.4;
/**
 * A prompt that took less than this share of its predicted time was cached, although the
 * prediction assumed that it was not.
 */
const MIN_PREFILL_TIME_SHARE = 0.5;
/** A sample outside these factors reflects a queue or a fault rather than the engine's speed. */
const SLOWDOWN_BOUNDS = { min: 0.5, max: 8 };
/** Shorter prefills reflect the latency rather than the engine's speed. */
const MIN_SLOWDOWN_SAMPLE_MS = 20;
/** Largest backlog with which a prefill is used as a sample of the latency. */
const MAX_LATENCY_BACKLOG_MS = 5;
/** Weights of a latency sample below and above the estimate, which follows the lowest latencies. */
const SHORTER_LATENCY_WEIGHT = 0.1;
const LONGER_LATENCY_WEIGHT = 0.01;
const LOG_ERROR_BOUNDS = { min: -MAX_LOG_ERROR, max: MAX_LOG_ERROR };
const MILLION = 1e6;

/**
 * Predicts prefill times and learns how much slower or faster each engine is. The latency is
 * modelled separately: it is most of the time of a short prompt on an idle engine, and does not
 * occupy the engine. If it counted as occupancy, long prompts would be booked at twice their time
 * and engines would stay idle.
 *
 * Two slowdown factors are learned per engine. The first, from short prompts, includes waits behind
 * work that this VM does not know of. Booked times use it, so that engines are not overloaded. The
 * second, from long prompts, reflects the engine's own speed. The momentary slowdown that an engine
 * reports is applied to predictions in addition, and is removed from what is learned.
 */
export class PrefillTimeModel {
  readonly #options: Required<PrefillTimeModelOptions>;
  readonly #slowdowns = new Map<string, number>();
  readonly #unloadedSlowdowns = new Map<string, number>();
  #priorSlowdown = 1;
  #priorUnloadedSlowdown = 1;
  #latencyMs: number;

  constructor(options: PrefillTimeModelOptions = {}) {
    this.#options = { ...DEFAULT_OPTIONS, ...options };
    this.#latencyMs = this.#options.latencyMs;
  }

  /**
   * Predicts the time to book for the prefill of `newTokens` that follow `cachedTokens`. It
   * includes waits that this VM cannot foresee, so that an engine does not receive more than it
   * can process. `momentarySlowdown` is the one that the engine reports.
   */
  predictMs(
    target: string,
    newTokens: number,
    cachedTokens: number,
    momentarySlowdown = 1,
  ): number {
    return this.#computeNominalMs(newTokens, cachedTokens) *
      this.getSlowdown(target) * momentarySlowdown;
  }

  /** Predicts the prefill time on an engine without other work. */
  predictUnloadedMs(
    target: string,
    newTokens: number,
    cachedTokens: number,
    momentarySlowdown = 1,
  ): number {
    const factor = Math.min(
      this.getUnloadedSlowdown(target),
      this.getSlowdown(target),
    );
    return this.#computeNominalMs(newTokens, cachedTokens) * factor *
      momentarySlowdown;
  }

  /** Time from the end of a prefill to its response, milliseconds. */
  get latencyMs(): number {
    return this.#latencyMs;
  }

  /** Ratio of actual to nominal prefill time, unforeseen waits included. */
  getSlowdown(target: string): number {
    return this.#slowdowns.get(target) ?? this.#priorSlowdown;
  }

  /** Ratio of actual to nominal prefill time on an engine without other work. */
  getUnloadedSlowdown(target: string): number {
    return this.#unloadedSlowdowns.get(target) ?? this.#priorUnloadedSlowdown;
  }

  /**
   * Learns from a long prefill which, as far as this VM knows, had the engine to itself. How much
   * of the prompt the engine had cached is an estimate.
   */
  learnUnloaded(target: string, sample: UnloadedSample): void {
    const { tookMs, slowdownChange = 1 } = sample;
    const unloadedMs = sample.unloadedMs * slowdownChange;
    const backlogMs = sample.backlogMs * slowdownChange;
    if (backlogMs > unloadedMs) return;
    const prefillMs = Math.max(1, tookMs - this.#latencyMs - backlogMs);
    if (prefillMs < unloadedMs * MIN_PREFILL_TIME_SHARE) return;
    const error = clamp(Math.log(prefillMs / unloadedMs), LOG_ERROR_BOUNDS);
    const weight = error < 0 ? FASTER_UNLOADED_WEIGHT : SLOWER_UNLOADED_WEIGHT;
    const step = Math.exp(error * weight);
    this.#unloadedSlowdowns.set(
      target,
      clamp(this.getUnloadedSlowdown(target) * step, SLOWDOWN_BOUNDS),
    );
    this.#priorUnloadedSlowdown = clamp(
      this.#priorUnloadedSlowdown * step,
      SLOWDOWN_BOUNDS,
    );
  }

  /** Learns from a completed prefill. */
  learn(target: string, sample: PrefillSample): void {
    const { costMs, backlogMs, tookMs, slowdownChange = 1 } = sample;
    const predictedMs = (backlogMs + costMs) * slowdownChange;
    if (backlogMs <= MAX_LATENCY_BACKLOG_MS) {
      this.#learnLatency(tookMs - predictedMs);
    }
    if (predictedMs < MIN_SLOWDOWN_SAMPLE_MS) return;
    const before = this.getSlowdown(target);
    const measured = before * (tookMs - this.#latencyMs) / predictedMs;
    const bounded = clamp(measured, SLOWDOWN_BOUNDS);
    const weight = bounded < before ? FASTER_WEIGHT : SLOWER_WEIGHT;
    const after = before + (bounded - before) * weight;
    this.#slowdowns.set(target, after);
    const priorStep = clamp(bounded / this.#priorSlowdown, PRIOR_STEP_BOUNDS);
    this.#priorSlowdown *= 1 + (priorStep - 1) * PRIOR_WEIGHT;
  }

  /** Drops what was learned about an engine that has left the fleet. */
  forget(target: string): void {
    this.#slowdowns.delete(target);
    this.#unloadedSlowdowns.delete(target);
  }

  #computeNominalMs(newTokens: number, cachedTokens: number): number {
    const { tokensPerMs, pairMsPerMillion, baseMs } = this.#options;
    const pairs = newTokens * (cachedTokens + newTokens / 2);
    return baseMs + newTokens / tokensPerMs +
      pairs / MILLION * pairMsPerMillion;
  }

  #learnLatency(sampleMs: number): void {
    const isShorter = sampleMs < this.#latencyMs;
    const weight = isShorter ? SHORTER_LATENCY_WEIGHT : LONGER_LATENCY_WEIGHT;
    const after = this.#latencyMs + (sampleMs - this.#latencyMs) * weight;
    this.#latencyMs = Math.max(0, after);
  }
}

function clamp(value: number, bounds: { min: number; max: number }): number {
  return Math.min(bounds.max, Math.max(bounds.min, value));
}
