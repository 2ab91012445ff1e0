/**
 * The narrow interface towards an engine, whatever dialect it speaks.
 *
 * @module
 */
import type { EngineOrder, EngineState } from "heatherarch-core";

/** Where another engine keeps the KV cache of a prompt. */
export interface KvHandle {
  readonly address: string;
  readonly handle: string;
}

/** One try at generating text on one engine. */
export interface EngineCall {
  /** Id of this try; every part of the answer must carry it. */
  readonly tryId: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Keep the KV cache for another engine to fetch. */
  readonly kvExport: boolean;
  readonly kvImport?: KvHandle;
}

/** How a try ended on the engine's own word. */
export interface EngineResult {
  readonly reason: "length" | "stop";
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly kvHandle?: string;
}

/** Why a try failed. */
export type EngineFailure =
  /** Nothing that could start the work was sent. */
  | "notSent"
  /** The engine answered that it did not start the work. */
  | "refused"
  /** The engine can't fetch the KV cache it was pointed to. */
  | "kvGone"
  /** The connection or the engine failed midway. */
  | "broken"
  /** No byte came for too long. */
  | "silent"
  /** The answer belongs to another try, or is not what it should be. */
  | "mismatched"
  /** The engine does not take this request at all. */
  | "invalid";

/** Receives the parts of an answer. Exactly one of `onEnd` and `onFailure` is called last. */
export interface EngineSink {
  /** Tokens that arrived together, in order. */
  onTokens(texts: readonly string[]): void;
  onEnd(end: EngineResult): void;
  onFailure(failure: EngineFailure, detail: string): void;
}

/** A try in progress. */
export interface EngineAttempt {
  /** Abandons the try: its connection is destroyed and nothing more is delivered. */
  abort(): void;
  /** Whether any byte of the request was handed to the engine. */
  readonly isSent: boolean;
}

/** Answer to an order. */
export type OrderResponse =
  | { readonly kind: "accepted" }
  /** The engine has obeyed a higher fencing number. */
  | { readonly kind: "fenced" }
  | { readonly kind: "refused"; readonly detail: string }
  /** The guard said no at the last moment, and no byte was sent. */
  | { readonly kind: "withheld" }
  | { readonly kind: "unknown"; readonly detail: string };

/** Time limits of a try, milliseconds. */
export interface AttemptTimeouts {
  readonly connectMs: number;
  readonly firstByteMs: number;
  readonly gapMs: number;
}

/** One engine behind its adapter. */
export interface EnginePort {
  /** Reads the engine's state. `fresh` opens a new connection for it. */
  readState(
    options: { timeoutMs: number; fresh?: boolean },
  ): Promise<EngineState>;
  /** Starts a try. */
  generate(call: EngineCall, sink: EngineSink): EngineAttempt;
  /** Fetches the rest of a broken answer, from token `from` on; undefined where unsupported. */
  resume?(call: EngineCall, from: number, sink: EngineSink): EngineAttempt;
  /**
   * Gives an order over a fresh connection. `guard` is asked in the synchronous turn that
   * writes the order.
   */
  sendOrder(
    order: EngineOrder,
    options: { fencing: number; guard: () => boolean; timeoutMs: number },
  ): Promise<OrderResponse>;
  close(): Promise<void>;
}
