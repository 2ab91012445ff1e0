/**
 * An engine that reads prompts in steps, in the order of arrival: one step takes pieces of as many
 * prompts as fit, and costs a fixed time besides. Without network, in simulated time.
 *
 * @module
 */

/** Speeds of an engine, from the users' sheet of a 70B model on slower accelerators. */
export interface SimulatedPrefillEngineOptions {
  /** How much longer than on the sheet everything takes. */
  readonly slowdown?: number;
  readonly tokensPerMs?: number;
  /** Time of attention over a million pairs of tokens, milliseconds. */
  readonly attentionMsPerMillionPairs?: number;
  /** Fixed time of a step, milliseconds. */
  readonly stepOverheadMs?: number;
  /** Prompt tokens of one step. */
  readonly chunkTokens?: number;
}

/** A prompt at an engine. */
export interface SimulatedPrefill {
  readonly freshTokens: number;
  /** Tokens that are there already. */
  readonly cachedTokens: number;
  /** Time before the reading may begin, such as that of a transfer, milliseconds. */
  readonly setupMs: number;
  /** Called with the time at which its last token was read. */
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

/** One engine. */
export class SimulatedPrefillEngine {
  readonly #options: Required<SimulatedPrefillEngineOptions>;
  #pending: PendingPrefill[] = [];
  #step: Step | undefined;
  #busyMs = 0;

  constructor(options: SimulatedPrefillEngineOptions = {}) {
    this.#options = { ...DEFAULTS, ...options };
  }

  /** Time for which it has worked, milliseconds. */
  get busyMs(): number {
    return this.#busyMs;
  }

  /** Takes a prompt in at `nowMs`, which never goes down. */
  enqueue(prompt: SimulatedPrefill, nowMs: number): void {
    this.advance(nowMs);
    const readyAtMs = nowMs + prompt.setupMs;
    this.#pending.push({ prompt, readyAtMs, prefilledTokens: 0 });
    this.#step ??= this.#startStep(nowMs);
  }

  /** Carries out all steps that end until `nowMs`. */
  advance(nowMs: number): void {
    while (this.#step !== undefined && this.#step.endsAtMs <= nowMs) {
      const { endsAtMs, completed: read } = this.#step;
      for (const { prompt } of read) prompt.onPrefilled(endsAtMs);
      this.#step = this.#startStep(endsAtMs);
    }
  }

  #startStep(atMs: number): Step | undefined {
    if (this.#pending.length === 0) return undefined;
    const first = Math.min(...this.#pending.map((w) => w.readyAtMs));
    const startMs = Math.max(atMs, first);
    const { slowdown: slowness, stepOverheadMs: stepMs, chunkTokens } =
      this.#options;
    let workMs = stepMs;
    let left = chunkTokens;
    for (const waiting of this.#pending) {
      if (left <= 0) break;
      if (waiting.readyAtMs > startMs) continue;
      const tokens = Math.min(left, countRemainingTokens(waiting));
      workMs += this.#computePrefillMs(waiting, tokens);
      waiting.prefilledTokens += tokens;
      left -= tokens;
    }
    const read = this.#pending.filter((w) => isPrefilled(w, startMs));
    this.#pending = this.#pending.filter((w) => !isPrefilled(w, startMs));
    this.#busyMs += workMs * slowness;
    return { endsAtMs: startMs + workMs * slowness, completed: read };
  }

  #computePrefillMs(
    { prompt, prefilledTokens: readTokens }: PendingPrefill,
    tokens: number,
  ): number {
    const { tokensPerMs, attentionMsPerMillionPairs: pairMsPerMillion } =
      this.#options;
    const before = prompt.cachedTokens + readTokens;
    const pairs = tokens * (before + tokens / 2);
    return tokens / tokensPerMs + pairs / MILLION * pairMsPerMillion;
  }
}

function countRemainingTokens(
  { prompt, prefilledTokens: readTokens }: PendingPrefill,
): number {
  return prompt.freshTokens - readTokens;
}

function isPrefilled(waiting: PendingPrefill, startMs: number): boolean {
  return waiting.readyAtMs <= startMs && countRemainingTokens(waiting) <= 0;
}
