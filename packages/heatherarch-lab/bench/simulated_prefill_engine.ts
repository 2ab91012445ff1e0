/**
 * Simulates an engine with chunked prefill in simulated time, without a network.
 *
 * Prompts are prefilled in order of arrival. One step processes chunks of as many prompts as fit
 * into its token budget, and adds a fixed overhead.
 *
 * @module
 */

/**
 * Speed of an engine. The defaults are those of a 70B model on the slower accelerators of the
 * users' load specification.
 */
export interface SimulatedPrefillEngineOptions {
  /** Factor by which every step takes longer than in the load specification. */
  readonly slowdown?: number;
  readonly tokensPerMs?: number;
  /** Attention time for a million pairs of tokens, in milliseconds. */
  readonly attentionMsPerMillionPairs?: number;
  /** Fixed time of a step, in milliseconds. */
  readonly stepOverheadMs?: number;
  /** Maximum number of prompt tokens in one step. */
  readonly chunkTokens?: number;
}

/** A prompt to prefill. */
export interface SimulatedPrefill {
  readonly freshTokens: number;
  /** Tokens that are already in the engine's KV cache. */
  readonly cachedTokens: number;
  /** Time before the prefill can start, such as that of a KV transfer, in milliseconds. */
  readonly setupMs: number;
  /** Called with the time at which the last token was prefilled. */
  readonly onPrefilled: (atMs: number) => void;
}

interface PendingPrefill {
  readonly prompt: SimulatedPrefill;
  readonly readyAtMs: number;
  prefilledTokens: number;
}

interface Step {
  readonly endsAtMs: number;
  readonly completed: readonly PendingPrefill[];
}

const DEFAULTS: Required<SimulatedPrefillEngineOptions> = {
  slowdown: 1,
  tokensPerMs: 49.6,
  attentionMsPerMillionPairs: 0.368,
  stepOverheadMs: 5.18,
  chunkTokens: 2048,
};
const MILLION = 1e6;

/** A simulated engine. */
export class SimulatedPrefillEngine {
  readonly #options: Required<SimulatedPrefillEngineOptions>;
  #pending: PendingPrefill[] = [];
  #step: Step | undefined;
  #busyMs = 0;

  constructor(options: SimulatedPrefillEngineOptions = {}) {
    this.#options = { ...DEFAULTS, ...options };
  }

  /** Total time of all steps, in milliseconds. */
  get busyMs(): number {
    return this.#busyMs;
  }

  /** Adds a prompt at `nowMs`. `nowMs` must not decrease from call to call. */
  enqueue(prompt: SimulatedPrefill, nowMs: number): void {
    this.advance(nowMs);
    const readyAtMs = nowMs + prompt.setupMs;
    this.#pending.push({ prompt, readyAtMs, prefilledTokens: 0 });
    this.#step ??= this.#startStep(nowMs);
  }

  /** Runs all steps that end at or before `nowMs`. */
  advance(nowMs: number): void {
    while (this.#step !== undefined && this.#step.endsAtMs <= nowMs) {
      const { endsAtMs, completed } = this.#step;
      for (const { prompt } of completed) prompt.onPrefilled(endsAtMs);
      this.#step = this.#startStep(endsAtMs);
    }
  }

  #startStep(atMs: number): Step | undefined {
    if (this.#pending.length === 0) return undefined;
    const earliestMs = Math.min(...this.#pending.map((p) => p.readyAtMs));
    const startMs = Math.max(atMs, earliestMs);
    const { slowdown, stepOverheadMs, chunkTokens } = this.#options;
    let workMs = stepOverheadMs;
    let budget = chunkTokens;
    for (const pending of this.#pending) {
      if (budget <= 0) break;
      if (pending.readyAtMs > startMs) continue;
      const tokens = Math.min(budget, countRemainingTokens(pending));
      workMs += this.#computePrefillMs(pending, tokens);
      pending.prefilledTokens += tokens;
      budget -= tokens;
    }
    const completed = this.#pending.filter((p) => isPrefilled(p, startMs));
    this.#pending = this.#pending.filter((p) => !isPrefilled(p, startMs));
    this.#busyMs += workMs * slowdown;
    return { endsAtMs: startMs + workMs * slowdown, completed };
  }

  #computePrefillMs(
    { prompt, prefilledTokens }: PendingPrefill,
    tokens: number,
  ): number {
    const { tokensPerMs, attentionMsPerMillionPairs } = this.#options;
    const contextTokens = prompt.cachedTokens + prefilledTokens;
    const pairs = tokens * (contextTokens + tokens / 2);
    return tokens / tokensPerMs + pairs / MILLION * attentionMsPerMillionPairs;
  }
}

function countRemainingTokens(
  { prompt, prefilledTokens }: PendingPrefill,
): number {
  return prompt.freshTokens - prefilledTokens;
}

function isPrefilled(pending: PendingPrefill, startMs: number): boolean {
  return pending.readyAtMs <= startMs && countRemainingTokens(pending) <= 0;
}
