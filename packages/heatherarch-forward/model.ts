/**
 * Domain model of the forwarding path: routes, services, targets and calls. Adapters build these
 * values; nothing here depends on a wire format.
 *
 * @module
 */
import type { Address } from "heatherarch-core";

/**
 * Which calls may be repeated. An `idempotent` call may run more than once. A `once` or `stream`
 * call runs at most once. A `resumableStream` may resume at another target.
 */
export type CallKind = "idempotent" | "once" | "stream" | "resumableStream";

/** A service that a route may use, and its weight. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** A route: which calls it matches, and how they are served. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Timeout of a call, milliseconds. */
  readonly timeoutMs: number;
  /**
   * Latency objective, milliseconds: a call earns its full worth if the response, or the first
   * event of a stream, takes no longer.
   */
  readonly aimMs: number;
  /** Priority among routes; 0 is served first. */
  readonly priority: number;
  /** Number of targets on which one call may run. */
  readonly maxTargets: number;
  /** Whether calls need no API key even if the configuration has client accounts. */
  readonly isKeyExempt: boolean;
  readonly services: readonly WeightedService[];
}

/** A client account. */
export interface ClientAccount {
  readonly name: string;
  /** Digests of the account's API keys. */
  readonly keyDigests: readonly string[];
  /** Priority of the account's calls; by default that of their route. */
  readonly priority?: number;
}

/** Capabilities of the engines of a service. */
export interface EngineTraits {
  readonly slots: number;
  /** Tokens that fit in an engine's KV cache. */
  readonly kvTokens: number;
  readonly kvBytesPerToken: number;
  readonly linkMbps: number;
  /** Time for which an engine is unavailable during a role change, milliseconds. */
  readonly roleChangeMs: number;
}

/** A service of engines, or a plain service. */
export interface ServiceSpec {
  readonly name: string;
  /** Connections that one target accepts from all VMs together. */
  readonly maxConnections: number;
  readonly engine?: EngineTraits;
  /** How many targets may be ordered; undefined if their number is fixed. */
  readonly scaling?: ServiceScaling;
}

/** Bounds and prices of a service whose targets are ordered. */
export interface ServiceScaling {
  /** Targets of both kinds that an availability zone must have at least, and may have at most. */
  readonly min: number;
  readonly max: number;
  /** Time from an order until a new target serves, milliseconds. */
  readonly bootMs: number;
  /** Price of a spot target as a fraction of a standard one's; undefined if there are none. */
  readonly spotPriceFactor?: number;
  /** Price of a standard target by availability zone. */
  readonly pricesByZone: Readonly<Record<string, number>>;
}

/** Limits on what a client may send. */
export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One complete version of the fleet's routing configuration. */
export interface RoutingConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSpec[];
  readonly limits: ClientLimits;
  /** Client accounts; null if calls need no API key. */
  readonly accounts: readonly ClientAccount[] | null;
}

/** Role of an engine; a plain target has none. */
export type TargetRole = "prefill" | "decode";

/**
 * One incarnation of a target. What was learned about a target and what the target has promised are
 * keyed by `id`, so that neither applies to the next incarnation after a restart.
 */
export interface Target {
  /** Differs for each incarnation. */
  readonly id: string;
  /**
   * Id in the target list and in the target's responses, shared by its incarnations; `id` by
   * default.
   */
  readonly instance?: string;
  /**
   * Start of this incarnation, Unix milliseconds by the target's clock. Of two incarnations the
   * later one is valid.
   */
  readonly startedAtMs?: number;
  readonly service: string;
  readonly address: Address;
  readonly availabilityZone: string;
  readonly slots: number;
  /** The target has announced that it will stop. */
  readonly leaving: boolean;
  readonly role?: TargetRole;
  /** The platform may reclaim the target. */
  readonly isSpot?: boolean;
  /** Version of the target's software, not of the weights. */
  readonly softwareVersion?: string;
}

/** What an engine reports about itself on request. */
export interface EngineReport {
  readonly role: TargetRole;
  /** A role change is in progress. */
  readonly isChangingRole: boolean;
  /** Number of orders that this incarnation has accepted. */
  readonly ordersTaken: number;
  /** Start of the incarnation that responds, Unix milliseconds. */
  readonly startedAtMs?: number;
}

/** An entry VM as it announces itself to its peers. */
export interface VmRecord {
  readonly id: string;
  readonly incarnation: string;
  readonly availabilityZone: string;
  readonly mesh: Address;
  /** Capacity of the VM as a hub of its zone; more is better. */
  readonly capacity?: number;
  /** Start of the incarnation by the VM's clock, Unix milliseconds. */
  readonly startedAtMs?: number;
}

/** A part of a prompt: shared with other prompts, or specific to the call or its session. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Parameters of a generation call, as its headers declare them. */
export interface GenerationParams {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** In prompt order; the last part is specific to the call or its session. */
  readonly parts: readonly PromptPart[];
}

/** Requests of a call that count towards the retry budget, also at the VMs that served it before. */
export interface AttemptCounts {
  /** Requests that reached a target, or may have; rejected ones and prefills included. */
  readonly sent: number;
  /** How many of them are prefills. */
  readonly prefills: number;
  /** An engine has prefilled the prompt. The first such prefill is not counted. */
  readonly isPrefilled: boolean;
}

/** What a peer tells about a call that it hands over. */
export interface HandoverState {
  /** Targets on which the call runs or may have run. */
  readonly runs: number;
  /** The usage of the call's account is recorded already. */
  readonly isUsageRecorded: boolean;
  /** Requests of the call that count towards the retry budget. */
  readonly attempts: AttemptCounts;
  /**
   * Software version at which a stream has to run: it began the stream, or may begin it at the VM that
   * hands the call over.
   */
  readonly softwareVersion?: string;
  /** The VM that hands the call over goes on with it and counts it, until a response begins. */
  readonly isHedge?: boolean;
}

/** One attempt of a client, completely received. */
export interface ForwardedCall {
  /** Id that the client gave to this attempt. */
  readonly id: string;
  readonly method: string;
  /** Path with query, as the client sent it. */
  readonly path: string;
  readonly host: string;
  /** End-to-end headers, as alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Monotonic time at which the head of the call was received. */
  readonly arrivedAtMs: number;
  /** Timeout of the client, milliseconds from `arrivedAtMs`; undefined if the client gives none. */
  readonly clientTimeoutMs?: number;
  readonly generation?: GenerationParams;
  /** API key that the client sent. It is removed when the call is admitted. */
  readonly apiKey?: string;
  /** Name of the client account of an admitted call. */
  readonly account?: string;
  /** Id of the last event that the client received from an earlier stream. */
  readonly lastEventId?: string;
  /** Id of the client's attempt that brought the first event of that stream. */
  readonly resumedAttemptId?: string;
  /** Set if a peer handed the call over. Such a call is not handed over again. */
  readonly handover?: HandoverState;
}
