/**
 * Performance model of an engine with continuous batching and chunked prefill. It starts from
 * published speeds and corrects its predictions by observed times to the first token.
 *
 * @module
 */
import type { EngineRole } from "heatherarch-core";
import type { TargetLoad } from "./candidate.ts";

/** Parameters of the model. */
export interface EngineSpeedEstimate {
  readonly stepMs: number;
  readonly decodeMsPerSequence: number;
  readonly prefillTokensPerSecond: number;
  readonly kvMsPerToken: number;
}

/** Speeds that apply until operators publish others. */
export const INITIAL_SPEEDS: EngineSpeedEstimate = {
  stepMs: 12,
  decodeMsPerSequence: 0.15,
  prefillTokensPerSecond: 8000,
  kvMsPerToken: 0.004,
};

/** Prompt tokens that an engine processes in one step, by role. */
const PREFILL_CHUNK_TOKENS: Record<EngineRole, number> = {
  prefill: 4096,
  decode: 64,
  mixed: 256,
};
/** Sequences that an engine runs concurrently, by role. */
const MAX_BATCH_SIZE: Record<EngineRole, number> = {
  prefill: 16,
  decode: 64,
  mixed: 40,
};

const LEARNING_RATE = 0.05;
const MAX_CORRECTION = 3;

/** Predicts how long work takes on an engine. */
export class EngineModel {
  #speeds: EngineSpeedEstimate;
  /** Smoothed ratio of the observed to the predicted time to the first token, by role. */
  readonly #firstTokenCorrection: Record<EngineRole, number> = {
    prefill: 1,
    decode: 1,
    mixed: 1,
  };

  constructor(speeds: EngineSpeedEstimate = INITIAL_SPEEDS) {
    this.#speeds = speeds;
  }

  /** Sets the speeds that operators published. The learned corrections stay. */
  setSpeeds(speeds: EngineSpeedEstimate): void {
    this.#speeds = speeds;
  }

  get kvMsPerToken(): number {
    return this.#speeds.kvMsPerToken;
  }

  /** Predicts the time from the arrival of a prompt to its first token. */
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

  /** Predicts the gap between tokens with one more sequence on the engine. */
  predictTokenGapMs(role: EngineRole, load: TargetLoad): number {
    return this.#predictStepMs(role, load);
  }

  /** Returns the number of steps that the prefill of a prompt takes. */
  countChunks(role: EngineRole, promptTokens: number): number {
    return Math.ceil(promptTokens / PREFILL_CHUNK_TOKENS[role]);
  }

  /** Predicts the prompt tokens per second that an otherwise idle engine prefills. */
  predictPrefillCapacity(role: EngineRole): number {
    const chunk = PREFILL_CHUNK_TOKENS[role];
    const chunkMs = chunk * 1000 / this.#speeds.prefillTokensPerSecond;
    return chunk * 1000 / (this.#speeds.stepMs + chunkMs);
  }

  /** Predicts the tokens per second that an engine generates with a full batch. */
  predictDecodeCapacity(role: EngineRole): number {
    const batch = MAX_BATCH_SIZE[role];
    return batch * 1000 /
      (this.#speeds.stepMs + batch * this.#speeds.decodeMsPerSequence);
  }

  /** Updates the correction of a role by an observed time to the first token. */
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

  /** Predicts the wait for a slot in a full batch. */
  #predictQueueMs(role: EngineRole, load: TargetLoad): number {
    const ahead = load.running + load.waiting + 1 - MAX_BATCH_SIZE[role];
    if (ahead <= 0) return 0;
    const sequenceMs = this.#predictStepMs(role, load) *
      MEAN_OUTPUT_TOKENS[role];
    return ahead * sequenceMs / MAX_BATCH_SIZE[role];
  }
}

/** Mean number of tokens for which a sequence stays on an engine, by role. */
const MEAN_OUTPUT_TOKENS: Record<EngineRole, number> = {
  prefill: 4,
  decode: 128,
  mixed: 128,
};
