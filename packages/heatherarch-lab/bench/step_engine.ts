/**
 * An engine that reads prompts in steps, in the order of arrival: one step takes pieces of as many
 * prompts as fit, and costs a fixed time besides. Without network, in simulated time.
 *
 * @module
 */

/** Speeds of an engine, from the users' sheet of a 70B model on slower accelerators. */
export interface StepEngineOptions {
  /** How much longer than on the sheet everything takes. */
  readonly slowness?: number;
  readonly tokensPerMs?: number;
  /** Time of attention over a million pairs of tokens, milliseconds. */
  readonly pairMsPerMillion?: number;
  /** Fixed time of a step, milliseconds. */
  readonly stepMs?: number;
  /** Prompt tokens of one step. */
  readonly chunkTokens?: number;
}

/** A prompt at an engine. */
export interface StepPrompt {
  readonly freshTokens: number;
  /** Tokens that are there already. */
  readonly heldTokens: number;
  /** Time before the reading may begin, such as that of a transfer, milliseconds. */
  readonly setupMs: number;
  /** Called with the time at which its last token was read. */
  readonly onRead: (atMs: number) => void;
}

interface Waiting {
  readonly prompt: StepPrompt;
  readonly readyAtMs: number;
  readTokens: number;
}

interface Step {
  readonly endsAtMs: number;
  readonly read: readonly Waiting[];
}

const DEFAULTS: Required<StepEngineOptions> = {
  slowness: 1,
  tokensPerMs: 49.6,
  pairMsPerMillion: 0.368,
  stepMs: 5.18,
  chunkTokens: 2048,
};
const MILLION = 1e6;

/** One engine. */
export class StepEngine {
  readonly #options: Required<StepEngineOptions>;
  #waiting: Waiting[] = [];
  #step: Step | undefined;
  #busyMs = 0;

  constructor(options: StepEngineOptions = {}) {
    this.#options = { ...DEFAULTS, ...options };
  }

  /** Time for which it has worked, milliseconds. */
  get busyMs(): number {
    return this.#busyMs;
  }

  /** Takes a prompt in at `nowMs`, which never goes down. */
  accept(prompt: StepPrompt, nowMs: number): void {
    this.advance(nowMs);
    const readyAtMs = nowMs + prompt.setupMs;
    this.#waiting.push({ prompt, readyAtMs, readTokens: 0 });
    this.#step ??= this.#begin(nowMs);
  }

  /** Carries out all steps that end until `nowMs`. */
  advance(nowMs: number): void {
    while (this.#step !== undefined && this.#step.endsAtMs <= nowMs) {
      const { endsAtMs, read } = this.#step;
      for (const { prompt } of read) prompt.onRead(endsAtMs);
      this.#step = this.#begin(endsAtMs);
    }
  }

  #begin(atMs: number): Step | undefined {
    if (this.#waiting.length === 0) return undefined;
    const first = Math.min(...this.#waiting.map((w) => w.readyAtMs));
    const startMs = Math.max(atMs, first);
    const { slowness, stepMs, chunkTokens } = this.#options;
    let workMs = stepMs;
    let left = chunkTokens;
    for (const waiting of this.#waiting) {
      if (left <= 0) break;
      if (waiting.readyAtMs > startMs) continue;
      const tokens = Math.min(left, countLeft(waiting));
      workMs += this.#computeMs(waiting, tokens);
      waiting.readTokens += tokens;
      left -= tokens;
    }
    const read = this.#waiting.filter((w) => isRead(w, startMs));
    this.#waiting = this.#waiting.filter((w) => !isRead(w, startMs));
    this.#busyMs += workMs * slowness;
    return { endsAtMs: startMs + workMs * slowness, read };
  }

  #computeMs({ prompt, readTokens }: Waiting, tokens: number): number {
    const { tokensPerMs, pairMsPerMillion } = this.#options;
    const before = prompt.heldTokens + readTokens;
    const pairs = tokens * (before + tokens / 2);
    return tokens / tokensPerMs + pairs / MILLION * pairMsPerMillion;
  }
}

function countLeft({ prompt, readTokens }: Waiting): number {
  return prompt.freshTokens - readTokens;
}

function isRead(waiting: Waiting, startMs: number): boolean {
  return waiting.readyAtMs <= startMs && countLeft(waiting) <= 0;
}
