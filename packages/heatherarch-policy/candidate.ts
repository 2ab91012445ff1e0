/**
 * A target that may take a request, with its load as best known here.
 *
 * @module
 */
import type { EngineRole } from "heatherarch-core";

/** Load of a target: its last report plus this VM's own work that the report can't show yet. */
export interface TargetLoad {
  readonly running: number;
  readonly waiting: number;
  readonly pendingPrefillTokens: number;
}

/** One usable target. */
export interface Candidate {
  readonly id: string;
  readonly sameZone: boolean;
  readonly role: EngineRole;
  readonly load: TargetLoad;
  /** Gap between tokens that this VM sees there; undefined without a fresh one. */
  readonly tokenGapMs?: number;
  readonly maxConcurrent: number;
  /** Time to reach it and back, milliseconds, as far as the zone tells. */
  readonly roundTripMs: number;
}

/** What is to be routed. */
export interface RouteRequest {
  readonly promptTokens: number;
  /** Tokens that are expected to be generated. */
  readonly outputTokens: number;
  /** Key of the prompt's beginning; requests that share it share cached blocks. */
  readonly prefixKey: string;
  /** Prompts at least this long may be prefilled apart; 0 for never. */
  readonly kvTransferMinTokens: number;
  /** Time left until the deadline, milliseconds. */
  readonly remainingMs: number;
  /** Gap between tokens that the profile allows, milliseconds. */
  readonly tokenGapMs: number;
  /** Spreads equally good choices; the id of the request. */
  readonly tieBreakKey: string;
  /** Only targets that keep this share of their places free may take it. */
  readonly reserveShare: number;
}

/** Where a request goes. */
export interface RoutePlan {
  /** Engine that prefills, and generates where `decode` is absent. */
  readonly primary: Candidate;
  /** Engine that takes the KV cache over and generates. */
  readonly decode?: Candidate;
  /** Predicted time to the first token, milliseconds. */
  readonly firstTokenMs: number;
  /** Predicted gap between tokens, milliseconds. */
  readonly tokenGapMs: number;
}
