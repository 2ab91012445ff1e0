/**
 * A model of a language-model engine: continuous batching with chunked prefill, a prefix
 * cache in limited memory, priorities, KV export, and role changes that take seconds.
 *
 * @module
 */
import { type EngineRole, estimateTokens, hashText } from "heatherarch-core";
import {
  computeNextToken,
  computeTextState,
  extendTextState,
} from "./completion.ts";

/** Speeds of an engine. */
export interface EngineSpeeds {
  /** Time of an empty step, milliseconds. */
  readonly stepMs: number;
  /** Added to a step for each sequence that decodes, milliseconds. */
  readonly decodeMsPerSequence: number;
  /** Prompt tokens a second while prefilling. */
  readonly prefillTokensPerSecond: number;
  /** Time to move one prompt token's KV cache, milliseconds. */
  readonly kvMsPerToken: number;
  /** Prefix cache, prompt tokens. */
  readonly cacheTokens: number;
  /** Time an order takes, milliseconds. */
  readonly changeMs: number;
}

/** Speeds that the benchmarks use where they say no other. */
export const DEFAULT_SPEEDS: EngineSpeeds = {
  stepMs: 12,
  decodeMsPerSequence: 0.15,
  prefillTokensPerSecond: 8000,
  kvMsPerToken: 0.004,
  cacheTokens: 60_000,
  changeMs: 4000,
};

/** Limits that come with a role: prompt tokens in one step, sequences in the batch. */
const ROLE_LIMITS: Record<EngineRole, { chunkTokens: number; batch: number }> =
  {
    prefill: { chunkTokens: 4096, batch: 16 },
    decode: { chunkTokens: 64, batch: 64 },
    mixed: { chunkTokens: 256, batch: 40 },
  };

/** Receives what a sequence produces. */
export interface SequenceListener {
  onToken(text: string, index: number): void;
  onEnd(end: SequenceEnd): void;
  /** The engine dropped the sequence. */
  onCut(): void;
}

/** How a sequence ended. */
export interface SequenceEnd {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly outputTokens: number;
  readonly kvHandle?: string;
}

/** A request to the engine. */
export interface SequenceRequest {
  readonly tryId: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: number;
  readonly kvExport: boolean;
  /** The KV cache of the prompt has been fetched from elsewhere. */
  readonly kvImported: boolean;
}

interface Sequence {
  readonly request: SequenceRequest;
  readonly promptTokens: number;
  cachedTokens: number;
  remainingPrefill: number;
  readyAtMs: number;
  emitted: number;
  textState: number;
  readonly tokens: string[];
  listener: SequenceListener | undefined;
}

const BLOCK_CHARACTERS = 256;
const BLOCK_TOKENS = BLOCK_CHARACTERS / 4;
const IDLE_LIMIT_MS = 1;

/** Counters of an engine. */
export interface EngineCounters {
  running: number;
  waiting: number;
  pendingPrefillTokens: number;
  kvUsed: number;
}

/** One simulated engine. */
export class EngineSimulation {
  readonly #speeds: EngineSpeeds;
  readonly #running: Sequence[] = [];
  readonly #waiting: Sequence[] = [];
  /** Prefix blocks in order of use, oldest first. */
  readonly #blocks = new Map<number, true>();
  #role: EngineRole;
  #timer: NodeJS.Timeout | undefined;
  #frozen = false;
  #kvHandles = 0;

  constructor(role: EngineRole, speeds: EngineSpeeds = DEFAULT_SPEEDS) {
    this.#role = role;
    this.#speeds = speeds;
  }

  get role(): EngineRole {
    return this.#role;
  }

  get speeds(): EngineSpeeds {
    return this.#speeds;
  }

  /** Changes the role; what is in flight must have been cut or finished before. */
  setRole(role: EngineRole): void {
    this.#role = role;
  }

  /** Stops or goes on producing, connections left as they are. */
  setFrozen(frozen: boolean): void {
    this.#frozen = frozen;
    if (!frozen) this.#schedule(0);
  }

  readCounters(): EngineCounters {
    const all = [...this.#running, ...this.#waiting];
    return {
      running: this.#running.length,
      waiting: this.#waiting.length,
      pendingPrefillTokens: all.reduce(
        (sum, sequence) => sum + sequence.remainingPrefill,
        0,
      ),
      kvUsed: Math.min(
        1,
        this.#blocks.size * BLOCK_TOKENS / this.#speeds.cacheTokens,
      ),
    };
  }

  /** Takes a request in. */
  submit(request: SequenceRequest, listener: SequenceListener): void {
    const promptTokens = Math.max(1, estimateTokens(request.prompt));
    // An imported KV cache needs no prefill: the sequence joins the next decode step.
    const cachedTokens = request.kvImported
      ? promptTokens
      : this.#countCached(request.prompt);
    const transferMs = request.kvImported
      ? promptTokens * this.#speeds.kvMsPerToken
      : 0;
    const sequence: Sequence = {
      request,
      promptTokens,
      cachedTokens,
      remainingPrefill: promptTokens - cachedTokens,
      readyAtMs: performance.now() + transferMs,
      emitted: 0,
      textState: computeTextState(request.prompt),
      tokens: [],
      listener,
    };
    const at = this.#waiting.findIndex((other) =>
      other.request.priority > request.priority
    );
    if (at === -1) this.#waiting.push(sequence);
    else this.#waiting.splice(at, 0, sequence);
    this.#schedule(0);
  }

  /** Drops one sequence. */
  cancel(tryId: string): void {
    for (const list of [this.#running, this.#waiting]) {
      const at = list.findIndex((sequence) => sequence.request.tryId === tryId);
      if (at !== -1) list.splice(at, 1);
    }
  }

  /** Drops all sequences and returns how many there were. */
  cutAll(): number {
    const all = [...this.#running.splice(0), ...this.#waiting.splice(0)];
    for (const sequence of all) sequence.listener?.onCut();
    return all.length;
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.#frozen = true;
  }

  #schedule(ms: number): void {
    if (this.#timer !== undefined || this.#frozen) return;
    if (this.#running.length + this.#waiting.length === 0) return;
    this.#timer = setTimeout(() => this.#beginStep(), ms);
  }

  #beginStep(): void {
    this.#timer = undefined;
    this.#admit();
    const nowMs = performance.now();
    const ready = this.#running.filter((sequence) =>
      sequence.readyAtMs <= nowMs
    );
    if (ready.length === 0) return this.#schedule(IDLE_LIMIT_MS);
    const decoding = ready.filter((sequence) =>
      sequence.remainingPrefill === 0
    );
    const prefilled = this.#planPrefill(ready);
    const { stepMs, decodeMsPerSequence, prefillTokensPerSecond } =
      this.#speeds;
    const prefillMs = prefilled.tokens * 1000 / prefillTokensPerSecond;
    const durationMs = stepMs + decoding.length * decodeMsPerSequence +
      prefillMs;
    const startMs = nowMs;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      if (this.#frozen) return;
      this.#endStep(decoding, prefilled.finished);
      const lateMs = performance.now() - startMs - durationMs;
      this.#schedule(Math.max(0, -lateMs));
    }, Math.max(0, durationMs - 0.5));
  }

  #admit(): void {
    const { batch } = ROLE_LIMITS[this.#role];
    while (this.#running.length < batch && this.#waiting.length > 0) {
      this.#running.push(this.#waiting.shift() as Sequence);
    }
  }

  /** Spends the step's budget of prompt tokens, most urgent first. */
  #planPrefill(
    ready: readonly Sequence[],
  ): { tokens: number; finished: Sequence[] } {
    let budget = ROLE_LIMITS[this.#role].chunkTokens;
    const finished: Sequence[] = [];
    const queue = ready.filter((sequence) => sequence.remainingPrefill > 0);
    queue.sort((a, b) => a.request.priority - b.request.priority);
    let tokens = 0;
    for (const sequence of queue) {
      if (budget === 0) break;
      const spent = Math.min(budget, sequence.remainingPrefill);
      sequence.remainingPrefill -= spent;
      budget -= spent;
      tokens += spent;
      if (sequence.remainingPrefill === 0) finished.push(sequence);
    }
    return { tokens, finished };
  }

  #endStep(
    decoding: readonly Sequence[],
    prefilled: readonly Sequence[],
  ): void {
    for (const sequence of prefilled) {
      this.#storeBlocks(sequence.request.prompt);
    }
    for (const sequence of [...decoding, ...prefilled]) {
      if (this.#running.includes(sequence)) this.#emitToken(sequence);
    }
  }

  #emitToken(sequence: Sequence): void {
    const token = computeNextToken(sequence.textState);
    sequence.textState = extendTextState(sequence.textState, token);
    sequence.tokens.push(token);
    sequence.listener?.onToken(token, sequence.emitted);
    sequence.emitted++;
    // The listener may have cancelled it.
    if (!this.#running.includes(sequence)) return;
    if (sequence.emitted < sequence.request.maxTokens) return;
    this.#running.splice(this.#running.indexOf(sequence), 1);
    sequence.listener?.onEnd({
      promptTokens: sequence.promptTokens,
      cachedTokens: sequence.cachedTokens,
      outputTokens: sequence.emitted,
      ...(sequence.request.kvExport
        ? { kvHandle: `kv-${this.#kvHandles++}` }
        : {}),
    });
  }

  #countCached(prompt: string): number {
    let cached = 0;
    for (const hash of listBlockHashes(prompt)) {
      if (!this.#blocks.delete(hash)) break;
      this.#blocks.set(hash, true);
      cached += BLOCK_TOKENS;
    }
    return Math.min(cached, Math.max(0, estimateTokens(prompt) - 1));
  }

  #storeBlocks(prompt: string): void {
    for (const hash of listBlockHashes(prompt)) {
      this.#blocks.delete(hash);
      this.#blocks.set(hash, true);
    }
    const limit = Math.floor(this.#speeds.cacheTokens / BLOCK_TOKENS);
    while (this.#blocks.size > limit) {
      const oldest = this.#blocks.keys().next().value as number;
      this.#blocks.delete(oldest);
    }
  }
}

/** Chained hashes of the whole blocks of a prompt. */
function listBlockHashes(prompt: string): number[] {
  const hashes: number[] = [];
  let hash: number | undefined;
  for (
    let at = 0;
    at + BLOCK_CHARACTERS <= prompt.length;
    at += BLOCK_CHARACTERS
  ) {
    hash = hashText(prompt.slice(at, at + BLOCK_CHARACTERS), hash);
    hashes.push(hash);
  }
  return hashes;
}
