/**
 * What the forwarding path knows of the world: routes, services, targets and calls, in the
 * product's own words. Adapters build these values; nothing here depends on a wire format.
 *
 * @module
 */
import type { Address } from "heatherarch-core";

/**
 * What may be repeated. `idempotent` calls may run more than once; `once` calls and `stream`
 * answers run at most once per call; a `resumableStream` may go on at another target.
 */
export type CallKind = "idempotent" | "once" | "stream" | "resumableStream";

/** A service that a route may use, with its share of the calls. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** A route: which calls it takes, and the profile that they are served by. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Longest time that a call may be kept waiting, milliseconds. */
  readonly timeoutMs: number;
  /** Time to the answer, or to the first event of a stream, that earns full worth. */
  readonly aimMs: number;
  /** Rank among routes; 0 is served first. */
  readonly priority: number;
  /** Targets on which one call may run. */
  readonly maxTargets: number;
  readonly services: readonly WeightedService[];
}

/** What the engines of a service can do. */
export interface EngineTraits {
  readonly slots: number;
  /** Tokens that fit in an engine's KV cache. */
  readonly kvTokens: number;
  readonly kvBytesPerToken: number;
  readonly linkMbps: number;
  /** Time for which a change of role takes an engine away, milliseconds. */
  readonly roleChangeMs: number;
}

/** A service: engines, or a plain one. */
export interface ServiceSpec {
  readonly name: string;
  /** Connections that one target accepts from all VMs together. */
  readonly maxConnections: number;
  readonly engine?: EngineTraits;
}

/** Bounds on what a client may send. */
export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the fleet's routing configuration, whole. */
export interface RoutingConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSpec[];
  readonly limits: ClientLimits;
}

/** What an engine does now; undefined for a plain target. */
export type TargetRole = "prefill" | "decode";

/**
 * One life of a target. Beliefs and promises are keyed by `id`, so that nothing that was learned of
 * a target holds for the one that starts again under its name.
 */
export interface Target {
  /** Another life has another id. */
  readonly id: string;
  /** The id that the list and the target itself use, which its lives share; `id` by default. */
  readonly instance?: string;
  /** Start of this life, Unix milliseconds by the target's clock; of two lives the later holds. */
  readonly startedAtMs?: number;
  readonly service: string;
  readonly address: Address;
  readonly availabilityZone: string;
  readonly slots: number;
  /** The target has announced that it will stop. */
  readonly leaving: boolean;
  readonly role?: TargetRole;
}

/** What an engine says of itself when it is asked. */
export interface EngineReport {
  readonly role: TargetRole;
  /** An order is being carried out. */
  readonly isChangingRole: boolean;
  /** Orders that this incarnation has accepted. */
  readonly ordersTaken: number;
  /** Start of the life that answers, Unix milliseconds. */
  readonly startedAtMs?: number;
}

/** An entry VM as it announces itself to its peers. */
export interface VmRecord {
  readonly id: string;
  readonly incarnation: string;
  readonly availabilityZone: string;
  readonly mesh: Address;
  /** What the VM can carry as a hub of its zone; more is better. */
  readonly capacity?: number;
}

/** A shared or own part of a prompt. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a call says of its generation. */
export interface GenerationParams {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** In prompt order; the last part is the call's own or its session's. */
  readonly parts: readonly PromptPart[];
}

/** One attempt of a client, read whole. */
export interface ForwardedCall {
  /** The client's id of this attempt. */
  readonly id: string;
  readonly method: string;
  /** Path with its query, as the client sent it. */
  readonly path: string;
  readonly host: string;
  /** End-to-end headers, names and values alternating. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Monotonic time at which the head of the call was read. */
  readonly arrivedAtMs: number;
  /** How long the client waits, milliseconds from `arrivedAtMs`; undefined where it does not say. */
  readonly clientTimeoutMs?: number;
  readonly generation?: GenerationParams;
  /** Id of the last event that the client has of an earlier stream. */
  readonly lastEventId?: string;
}
