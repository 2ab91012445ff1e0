/**
 * The system's own model of an engine: continuous batching with chunked prefill, whose speeds
 * are learned from the answers that pass through.
 *
 * @module
 */
import type { EngineRole } from "heatherarch-core";
import type { TargetLoad } from "./candidate.ts";

/** Parameters of the model. Times are milliseconds. */
export interface EngineSpeedEstimate {
  readonly stepMs: number;
  readonly decodeMsPerSequence: number;
  readonly prefillTokensPerSecond: number;
  readonly kvMsPerToken: number;
}

/** Starting values until answers have been observed. */
export const INITIAL_SPEEDS: EngineSpeedEstimate = {
  stepMs: 12,
  decodeMsPerSequence: 0.15,
  prefillTokensPerSecond: 8000,
  kvMsPerToken: 0.004,
};

/** Prompt tokens that an engine of a role takes into one step. */
const PREFILL_CHUNK_TOKENS: Record<EngineRole, number> = {
  prefill: 4096,
  decode: 64,
  mixed: 256,
};
/** Sequences that an engine of a role runs at once. */
const MAX_BATCH_SIZE: Record<EngineRole, number> = {
  prefill: 16,
  decode: 64,
  mixed: 40,
};

const LEARNING_RATE = 0.05;
const MAX_CORRECTION = 3;

/** Predicts the time of work on an engine. */
export class EngineModel {
  #speeds: EngineSpeedEstimate;
  /** Observed time to the first token over the predicted one, by role. */
  readonly #firstTokenCorrection: Record<EngineRole, number> = {
    prefill: 1,
    decode: 1,
    mixed: 1,
  };

  constructor(speeds: EngineSpeedEstimate = INITIAL_SPEEDS) {
    this.#speeds = speeds;
  }

  /** Takes over the speeds that operators published. What has been learned stays. */
  setSpeeds(speeds: EngineSpeedEstimate): void {
    this.#speeds = speeds;
  }

  get kvMsPerToken(): number {
    return this.#speeds.kvMsPerToken;
  }

  /** Time from the arrival of a prompt to its first token. */
  predictFirstTokenMs(
    role: EngineRole,
    load: TargetLoad,
    promptTokens: number,
  ): number {
    const tokens = load.pendingPrefillTokens + promptTokens;
    const prefillMs = tokens * 1000 / this.#predictPrefillRate(role, load);
    const stepMs = this.#predictStepMs(role, load);
    const queueMs = this.#predictQueueMs(role, load);
    return (stepMs + prefillMs + queueMs) * this.#firstTokenCorrection[role];
  }

  /** Gap between tokens with one more sequence on the engine. */
  predictTokenGapMs(role: EngineRole, load: TargetLoad): number {
    return this.#predictStepMs(role, load);
  }

  /** Steps that a prompt takes on an engine of a role. */
  countChunks(role: EngineRole, promptTokens: number): number {
    return Math.ceil(promptTokens / PREFILL_CHUNK_TOKENS[role]);
  }

  /** Prompt tokens a second that one engine of a role prefills when it does nothing else. */
  predictPrefillCapacity(role: EngineRole): number {
    const chunk = PREFILL_CHUNK_TOKENS[role];
    const chunkMs = chunk * 1000 / this.#speeds.prefillTokensPerSecond;
    return chunk * 1000 / (this.#speeds.stepMs + chunkMs);
  }

  /** Tokens a second that one engine of a role generates with a full batch. */
  predictDecodeCapacity(role: EngineRole): number {
    const batch = MAX_BATCH_SIZE[role];
    return batch * 1000 /
      (this.#speeds.stepMs + batch * this.#speeds.decodeMsPerSequence);
  }

  /** Takes in how long a first token took against what was predicted. */
  observeFirstToken(
    role: EngineRole,
    predictedMs: number,
    observedMs: number,
  ): void {
    if (predictedMs <= 0) return;
    const ratio = Math.min(
      MAX_CORRECTION,
      Math.max(1 / MAX_CORRECTION, observedMs / predictedMs),
    );
    const factors = this.#firstTokenCorrection;
    const next = factors[role] * ratio ** LEARNING_RATE;
    factors[role] = Math.min(
      MAX_CORRECTION,
      Math.max(1 / MAX_CORRECTION, next),
    );
  }

  #predictStepMs(role: EngineRole, load: TargetLoad): number {
    const { stepMs, decodeMsPerSequence, prefillTokensPerSecond } =
      this.#speeds;
    const sequences = Math.min(MAX_BATCH_SIZE[role], load.running + 1);
    const chunk = Math.min(
      PREFILL_CHUNK_TOKENS[role],
      load.pendingPrefillTokens,
    );
    return stepMs + sequences * decodeMsPerSequence +
      chunk * 1000 / prefillTokensPerSecond;
  }

  #predictPrefillRate(role: EngineRole, load: TargetLoad): number {
    const { stepMs, decodeMsPerSequence, prefillTokensPerSecond } =
      this.#speeds;
    const chunk = PREFILL_CHUNK_TOKENS[role];
    const decodeMs = Math.min(MAX_BATCH_SIZE[role], load.running) *
      decodeMsPerSequence;
    const chunkMs = chunk * 1000 / prefillTokensPerSecond;
    return chunk * 1000 / (stepMs + decodeMs + chunkMs);
  }

  /** Wait for a place in a full batch. */
  #predictQueueMs(role: EngineRole, load: TargetLoad): number {
    const ahead = load.running + load.waiting + 1 - MAX_BATCH_SIZE[role];
    if (ahead <= 0) return 0;
    const sequenceMs = this.#predictStepMs(role, load) *
      MEAN_OUTPUT_TOKENS[role];
    return ahead * sequenceMs / MAX_BATCH_SIZE[role];
  }
}

/** Tokens that a sequence typically stays for. */
const MEAN_OUTPUT_TOKENS: Record<EngineRole, number> = {
  prefill: 4,
  decode: 128,
  mixed: 128,
};
