/**
 * Simulates a language-model engine: continuous batching with chunked prefill, a prefix cache of
 * limited size, priorities, export and import of KV caches, and roles.
 *
 * @module
 */
import { type EngineRole, estimateTokens, hashText } from "heatherarch-core";
import {
  computeNextToken,
  computeTextState,
  extendTextState,
} from "./completion.ts";

/** Speeds and cache size of an engine. */
export interface EngineSpeeds {
  /** Duration of an empty step. */
  readonly stepMs: number;
  /** Time that each decoding sequence adds to a step, milliseconds. */
  readonly decodeMsPerSequence: number;
  /** Prefill throughput, in prompt tokens per second. */
  readonly prefillTokensPerSecond: number;
  /** Time to transfer the KV cache of one prompt token, milliseconds. */
  readonly kvMsPerToken: number;
  /** Capacity of the prefix cache, in prompt tokens. */
  readonly cacheTokens: number;
  /** Time that an order takes. */
  readonly changeMs: number;
}

/** Default speeds, which the benchmarks use unless they set others. */
export const DEFAULT_SPEEDS: EngineSpeeds = {
  stepMs: 12,
  decodeMsPerSequence: 0.15,
  prefillTokensPerSecond: 8000,
  kvMsPerToken: 0.004,
  cacheTokens: 60_000,
  changeMs: 4000,
};

/** Limits of each role: prompt tokens to prefill in one step, and sequences in the batch. */
const ROLE_LIMITS: Record<
  EngineRole,
  { maxPrefillTokens: number; batchSize: number }
> = {
  prefill: { maxPrefillTokens: 4096, batchSize: 16 },
  decode: { maxPrefillTokens: 64, batchSize: 64 },
  mixed: { maxPrefillTokens: 256, batchSize: 40 },
};

/** Receives the tokens and the end of a sequence. */
export interface SequenceListener {
  onToken(text: string, index: number): void;
  onEnd(result: SequenceResult): void;
  /** Called if the engine drops the sequence. */
  onDropped(): void;
}

/** Token counts of a finished sequence, and the handle of its exported KV cache. */
export interface SequenceResult {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly outputTokens: number;
  readonly kvHandle?: string;
}

/** A request to generate a sequence. */
export interface SequenceRequest {
  readonly attemptId: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: number;
  readonly kvExport: boolean;
  /** Whether the KV cache of the prompt was imported from another engine. */
  readonly kvImported: boolean;
}

interface Sequence {
  readonly request: SequenceRequest;
  readonly promptTokens: number;
  cachedTokens: number;
  remainingPrefillTokens: number;
  readyAtMs: number;
  emittedTokens: number;
  textState: number;
  readonly tokens: string[];
  listener: SequenceListener | undefined;
}

const BLOCK_CHARACTERS = 256;
const BLOCK_TOKENS = BLOCK_CHARACTERS / 4;
/** Delay before the next step while every sequence waits for the transfer of its KV cache. */
const IDLE_POLL_MS = 1;

/** Current load of an engine. */
export interface EngineCounters {
  running: number;
  waiting: number;
  pendingPrefillTokens: number;
  kvUsed: number;
}

/** A simulated engine. */
export class EngineSimulation {
  readonly #speeds: EngineSpeeds;
  readonly #running: Sequence[] = [];
  readonly #waiting: Sequence[] = [];
  /** Hashes of the cached prefix blocks, least recently used first. */
  readonly #cachedBlocks = new Map<number, true>();
  #role: EngineRole;
  #timer: NodeJS.Timeout | undefined;
  #isFrozen = false;
  #kvHandleCount = 0;

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

  /** Changes the role. All sequences must have finished or been dropped before. */
  setRole(role: EngineRole): void {
    this.#role = role;
  }

  /** Pauses or resumes generation; sequences stay in place. */
  setFrozen(frozen: boolean): void {
    this.#isFrozen = frozen;
    if (!frozen) this.#schedule(0);
  }

  readCounters(): EngineCounters {
    const all = [...this.#running, ...this.#waiting];
    return {
      running: this.#running.length,
      waiting: this.#waiting.length,
      pendingPrefillTokens: all.reduce(
        (sum, sequence) => sum + sequence.remainingPrefillTokens,
        0,
      ),
      kvUsed: Math.min(
        1,
        this.#cachedBlocks.size * BLOCK_TOKENS / this.#speeds.cacheTokens,
      ),
    };
  }

  /** Queues a request behind those of the same or a more urgent priority (a lower number). */
  submit(request: SequenceRequest, listener: SequenceListener): void {
    const promptTokens = Math.max(1, estimateTokens(request.prompt));
    // An imported KV cache needs no prefill: the sequence joins the next decode step.
    const cachedTokens = request.kvImported
      ? promptTokens
      : this.#countCachedTokens(request.prompt);
    const transferMs = request.kvImported
      ? promptTokens * this.#speeds.kvMsPerToken
      : 0;
    const sequence: Sequence = {
      request,
      promptTokens,
      cachedTokens,
      remainingPrefillTokens: promptTokens - cachedTokens,
      readyAtMs: performance.now() + transferMs,
      emittedTokens: 0,
      textState: computeTextState(request.prompt),
      tokens: [],
      listener,
    };
    const index = this.#waiting.findIndex((other) =>
      other.request.priority > request.priority
    );
    if (index === -1) this.#waiting.push(sequence);
    else this.#waiting.splice(index, 0, sequence);
    this.#schedule(0);
  }

  /** Drops one sequence without notifying its listener. */
  cancel(attemptId: string): void {
    for (const list of [this.#running, this.#waiting]) {
      const index = list.findIndex((sequence) =>
        sequence.request.attemptId === attemptId
      );
      if (index !== -1) list.splice(index, 1);
    }
  }

  /** Drops all sequences, notifies their listeners, and returns the number of sequences. */
  dropAll(): number {
    const all = [...this.#running.splice(0), ...this.#waiting.splice(0)];
    for (const sequence of all) sequence.listener?.onDropped();
    return all.length;
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.#isFrozen = true;
  }

  #schedule(ms: number): void {
    if (this.#timer !== undefined || this.#isFrozen) return;
    if (this.#running.length + this.#waiting.length === 0) return;
    this.#timer = setTimeout(() => this.#startStep(), ms);
  }

  #startStep(): void {
    this.#timer = undefined;
    this.#admit();
    const nowMs = performance.now();
    const ready = this.#running.filter((sequence) =>
      sequence.readyAtMs <= nowMs
    );
    if (ready.length === 0) return this.#schedule(IDLE_POLL_MS);
    const decoding = ready.filter((sequence) =>
      sequence.remainingPrefillTokens === 0
    );
    const prefill = this.#planPrefill(ready);
    const { stepMs, decodeMsPerSequence, prefillTokensPerSecond } =
      this.#speeds;
    const prefillMs = prefill.tokens * 1000 / prefillTokensPerSecond;
    const durationMs = stepMs + decoding.length * decodeMsPerSequence +
      prefillMs;
    const startMs = nowMs;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      if (this.#isFrozen) return;
      this.#finishStep(decoding, prefill.finished);
      const lateMs = performance.now() - startMs - durationMs;
      this.#schedule(Math.max(0, -lateMs));
    }, Math.max(0, durationMs - 0.5));
  }

  #admit(): void {
    const { batchSize } = ROLE_LIMITS[this.#role];
    while (this.#running.length < batchSize && this.#waiting.length > 0) {
      this.#running.push(this.#waiting.shift() as Sequence);
    }
  }

  /** Distributes the step's prefill budget over the sequences, most urgent first. */
  #planPrefill(
    ready: readonly Sequence[],
  ): { tokens: number; finished: Sequence[] } {
    let budget = ROLE_LIMITS[this.#role].maxPrefillTokens;
    const finished: Sequence[] = [];
    const queue = ready.filter((sequence) =>
      sequence.remainingPrefillTokens > 0
    );
    queue.sort((a, b) => a.request.priority - b.request.priority);
    let tokens = 0;
    for (const sequence of queue) {
      if (budget === 0) break;
      const spent = Math.min(budget, sequence.remainingPrefillTokens);
      sequence.remainingPrefillTokens -= spent;
      budget -= spent;
      tokens += spent;
      if (sequence.remainingPrefillTokens === 0) finished.push(sequence);
    }
    return { tokens, finished };
  }

  #finishStep(
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
    sequence.listener?.onToken(token, sequence.emittedTokens);
    sequence.emittedTokens++;
    // The listener can cancel the sequence.
    if (!this.#running.includes(sequence)) return;
    if (sequence.emittedTokens < sequence.request.maxTokens) return;
    this.#running.splice(this.#running.indexOf(sequence), 1);
    sequence.listener?.onEnd({
      promptTokens: sequence.promptTokens,
      cachedTokens: sequence.cachedTokens,
      outputTokens: sequence.emittedTokens,
      ...(sequence.request.kvExport
        ? { kvHandle: `kv-${this.#kvHandleCount++}` }
        : {}),
    });
  }

  #countCachedTokens(prompt: string): number {
    let cached = 0;
    for (const hash of computeBlockHashes(prompt)) {
      if (!this.#cachedBlocks.delete(hash)) break;
      this.#cachedBlocks.set(hash, true);
      cached += BLOCK_TOKENS;
    }
    return Math.min(cached, Math.max(0, estimateTokens(prompt) - 1));
  }

  #storeBlocks(prompt: string): void {
    for (const hash of computeBlockHashes(prompt)) {
      this.#cachedBlocks.delete(hash);
      this.#cachedBlocks.set(hash, true);
    }
    const limit = Math.floor(this.#speeds.cacheTokens / BLOCK_TOKENS);
    while (this.#cachedBlocks.size > limit) {
      const oldest = this.#cachedBlocks.keys().next().value as number;
      this.#cachedBlocks.delete(oldest);
    }
  }
}

/** Hashes each complete block of a prompt together with all blocks before it. */
function computeBlockHashes(prompt: string): number[] {
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
