/**
 * Types that several packages share.
 *
 * @module
 */

/** What an engine is set up to do best. */
export type EngineRole = "prefill" | "decode" | "mixed";

/** All engine roles. */
export const ENGINE_ROLES: readonly EngineRole[] = [
  "prefill",
  "decode",
  "mixed",
];

/** What an operator has asked of a target. `active` is the normal state. */
export type TargetDirective = "active" | "draining" | "replacing" | "withdrawn";

/** An order given to an engine. */
export type EngineOrder =
  | { readonly kind: "setRole"; readonly role: EngineRole }
  | {
    readonly kind: "loadModel";
    readonly model: string;
    readonly version: string;
  };

/** Address of a TCP endpoint, `ip:port`. */
export type Address = string;

/** State of an engine in the system's own terms, whatever dialect reported it. */
export interface EngineState {
  readonly role: EngineRole;
  readonly model: string;
  readonly version: string;
  /** An order is being carried out; the engine takes no work. */
  readonly busyWithOrder: boolean;
  /** The engine itself says that it is leaving. */
  readonly leaving: boolean;
  /** Requests in the running batch. */
  readonly running: number;
  /** Requests waiting for a place in the batch. */
  readonly waiting: number;
  /** Prompt tokens not yet prefilled, over all its requests. */
  readonly pendingPrefillTokens: number;
  /** Highest fencing number it has obeyed; 0 for engines that ignore them. */
  readonly fencing: number;
  /** Share of the KV cache in use, 0 to 1. */
  readonly kvUsed: number;
}

/** Load of a plain service's target. */
export interface ServiceState {
  readonly running: number;
  readonly leaving: boolean;
}
