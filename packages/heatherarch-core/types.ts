/**
 * Types that several packages share.
 *
 * @module
 */

/** Role for which an engine is configured. */
export type EngineRole = "prefill" | "decode" | "mixed";

/** All engine roles. */
export const ENGINE_ROLES: readonly EngineRole[] = [
  "prefill",
  "decode",
  "mixed",
];

/** State that an operator has set for a target. `active` is the normal state. */
export type TargetDirective = "active" | "draining" | "replacing" | "withdrawn";

/** An order to an engine. */
export type EngineOrder =
  | { readonly kind: "setRole"; readonly role: EngineRole }
  | {
    readonly kind: "loadModel";
    readonly model: string;
    readonly version: string;
  };

/** Address of a TCP endpoint, `ip:port`. */
export type Address = string;

/** State of an engine, independent of the dialect in which the engine reported it. */
export interface EngineState {
  readonly role: EngineRole;
  readonly model: string;
  readonly version: string;
  /** Whether the engine carries out an order. It then accepts no requests. */
  readonly busyWithOrder: boolean;
  /** Whether the engine reports that it is leaving. */
  readonly leaving: boolean;
  /** Number of requests in the running batch. */
  readonly running: number;
  /** Number of requests that wait for a slot in the batch. */
  readonly waiting: number;
  /** Prompt tokens of all its requests that are not prefilled yet. */
  readonly pendingPrefillTokens: number;
  /** Highest fencing token that the engine has accepted; 0 for an engine that ignores them. */
  readonly fencing: number;
  /** Share of the KV cache in use, 0 to 1. */
  readonly kvUsed: number;
}

/** State of a target of a plain service. */
export interface ServiceState {
  readonly running: number;
  readonly leaving: boolean;
}
