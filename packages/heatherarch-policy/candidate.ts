/**
 * Candidate targets for a request with their estimated load, and the plan that a router makes.
 *
 * @module
 */
import type { EngineRole } from "heatherarch-core";

/** Load of a target: its last report, corrected by this VM's own work since that report. */
export interface TargetLoad {
  readonly running: number;
  readonly waiting: number;
  readonly pendingPrefillTokens: number;
}

/** A target that may take a request. */
export interface Candidate {
  readonly id: string;
  readonly sameZone: boolean;
  readonly role: EngineRole;
  readonly load: TargetLoad;
  /** Gap between tokens that this VM observes there; undefined without a recent observation. */
  readonly tokenGapMs?: number;
  readonly maxConcurrent: number;
  /** Round-trip time to the target, estimated from its availability zone. */
  readonly roundTripMs: number;
}

/** A request to be routed. */
export interface RouteRequest {
  readonly promptTokens: number;
  /** Expected number of generated tokens. */
  readonly outputTokens: number;
  /** Key of the prompt's prefix. Requests with the same key share cached KV blocks. */
  readonly prefixKey: string;
  /** Prompts of at least this many tokens may be prefilled on another engine; 0 for never. */
  readonly kvTransferMinTokens: number;
  /** Time left until the deadline. */
  readonly remainingMs: number;
  /** Gap between tokens that the profile allows. */
  readonly tokenGapMs: number;
  /** Key that spreads requests over equally good candidates: the id of the request. */
  readonly tieBreakKey: string;
  /** Share of its slots that a target must still have free after it takes the request. */
  readonly reserveShare: number;
}

/** The targets that a request is sent to. */
export interface RoutePlan {
  /** Target that prefills, and also decodes if `decode` is absent. */
  readonly primary: Candidate;
  /** Engine that receives the KV cache and decodes. */
  readonly decode?: Candidate;
  /** Predicted time to the first token. */
  readonly firstTokenMs: number;
  /** Predicted gap between tokens. */
  readonly tokenGapMs: number;
}
