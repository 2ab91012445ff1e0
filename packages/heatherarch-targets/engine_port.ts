/**
 * Interface to an engine, independent of its dialect.
 *
 * @module
 */
import type { EngineOrder, EngineState } from "heatherarch-core";

/** Location of a prompt's KV cache on another engine. */
export interface KvHandle {
  readonly address: string;
  readonly handle: string;
}

/** One attempt to generate text on one engine. */
export interface EngineCall {
  /** Id of this attempt. Every part of the response must carry it. */
  readonly tryId: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Scheduling priority; 0 is the most urgent. */
  readonly priority: number;
  /** Whether the engine keeps the KV cache for another engine to fetch. */
  readonly kvExport: boolean;
  readonly kvImport?: KvHandle;
}

/** Result of an attempt that the engine completed. */
export interface EngineResult {
  readonly reason: "length" | "stop";
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly kvHandle?: string;
}

/** Reason for a failed attempt. */
export type EngineFailure =
  /** Nothing that could start the work was sent. */
  | "notSent"
  /** The engine responded that it did not start the work. */
  | "refused"
  /** The engine can't fetch the KV cache named in the call. */
  | "kvGone"
  /** The connection or the engine failed during the attempt. */
  | "broken"
  /** No data arrived within the timeout. */
  | "silent"
  /** The response belongs to another attempt or is malformed. */
  | "mismatched"
  /** The engine rejects the request as invalid. */
  | "invalid";

/** Receives the parts of a response. Exactly one of `onEnd` and `onFailure` is called last. */
export interface EngineSink {
  /** Called with the tokens that arrived together, in order. */
  onTokens(texts: readonly string[]): void;
  onEnd(result: EngineResult): void;
  onFailure(failure: EngineFailure, detail: string): void;
}

/** An attempt in progress. */
export interface EngineAttempt {
  /** Aborts the attempt. Its connection is destroyed, and nothing more is delivered. */
  abort(): void;
  /** Whether any byte of the request was sent to the engine. */
  readonly isSent: boolean;
}

/** Response to an order. */
export type OrderResponse =
  | { readonly kind: "accepted" }
  /** The engine has obeyed an order with a higher fencing token. */
  | { readonly kind: "fenced" }
  | { readonly kind: "refused"; readonly detail: string }
  /** The guard rejected the order just before it was written, and no byte was sent. */
  | { readonly kind: "withheld" }
  | { readonly kind: "unknown"; readonly detail: string };

/** Timeouts of an attempt, in milliseconds. */
export interface AttemptTimeouts {
  readonly connectMs: number;
  readonly firstByteMs: number;
  readonly gapMs: number;
}

/** Interface to one engine. */
export interface EnginePort {
  /** Reads the engine's state. With `fresh`, a new connection is opened for the read. */
  readState(
    options: { timeoutMs: number; fresh?: boolean },
  ): Promise<EngineState>;
  /** Starts an attempt. */
  generate(call: EngineCall, sink: EngineSink): EngineAttempt;
  /** Resumes a broken response at token `from`. Undefined if the dialect does not support this. */
  resume?(call: EngineCall, from: number, sink: EngineSink): EngineAttempt;
  /**
   * Sends an order over a new connection. `guard` is called in the synchronous turn that writes
   * the order.
   */
  sendOrder(
    order: EngineOrder,
    options: { fencing: number; guard: () => boolean; timeoutMs: number },
  ): Promise<OrderResponse>;
  close(): Promise<void>;
}
