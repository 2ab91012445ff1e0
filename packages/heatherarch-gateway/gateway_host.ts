/**
 * Dependencies of the gateway on the process that hosts it.
 *
 * @module
 */
import type { GenerationRequest } from "./openai_format.ts";
import type { Clock, ErrorKind, ServeError } from "heatherarch-core";
import type {
  Candidate,
  DemandMeter,
  EngineModel,
  LoadTracker,
  LookupReserve,
  RetryBudget,
  Router,
} from "heatherarch-policy";
import type {
  Fleet,
  ProcessSettings,
  Profile,
  RoutingKind,
  Target,
} from "heatherarch-settings";
import type { EnginePort, ServicePort } from "heatherarch-targets";
import type { CallShutdown, ShutdownPhase } from "heatherarch-shutdown";
import type { RequestWatch } from "./request_watch.ts";

/** Limits of requests, from the process settings. */
export type RequestLimits = ProcessSettings["requests"];

/** Access to the targets as this VM currently knows them. */
export interface TargetProvider {
  /** Returns the targets of a service that may receive new work. */
  listCandidates(service: string): Candidate[];
  findTarget(id: string): Target | undefined;
  getEngine(target: Target): EnginePort;
  getService(target: Target): ServicePort;
  /** Records a failed attempt. Other targets are preferred for a short time. */
  recordFailure(id: string): void;
  recordSuccess(id: string): void;
}

/** Response of a finished call, stored to be replayed to repeated calls with the same key. */
export interface StoredResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Body in Base64; absent if it was too large to store. */
  readonly body?: string;
}

/** A claim on an idempotency key that was granted to this process. */
export interface HeldClaim {
  /** Whether the permission is still valid. Must be checked in the turn that writes the call. */
  isValid(): boolean;
  /** Records the response. Returns at once; the append is retried in the background. */
  conclude(response: StoredResponse): void;
  /**
   * Renews the permission of a claim that expired unused, under the same claim id. May be called
   * only if the call was certainly not sent.
   */
  renew(): Promise<ClaimResult>;
  /** Releases the key. May be called only if the call was certainly not sent. */
  release(): void;
}

/** Result of a claim. */
export type ClaimResult =
  | { readonly kind: "granted"; readonly claim: HeldClaim }
  | { readonly kind: "answered"; readonly response: StoredResponse }
  | { readonly kind: "refused"; readonly error: ServeError };

/** Claims idempotency keys. */
export interface ClaimClient {
  claim(
    request: { key: string; madeAtMs: number; fingerprint: string },
  ): Promise<ClaimResult>;
}

/** Part of a resumable stream, as read on this VM or sent by another one. */
export interface StreamSlice {
  readonly texts: readonly string[];
  readonly state: "running" | "ended" | "failed" | "unknown";
  readonly kind?: ErrorKind;
  readonly model: string;
  /** Interface whose format the stream has; undefined from a VM that runs an earlier build. */
  readonly requestKind?: GenerationRequest["kind"];
}

/** Result of a request, for metrics. */
export interface RequestResult {
  readonly service: string;
  readonly profile: string;
  /** `clientGone`: the client disconnected before the end of the response. */
  readonly outcome: "ok" | "clientGone" | ErrorKind;
  /** Whether the response was complete within its deadline. */
  readonly isWithinDeadline: boolean;
  readonly durationMs: number;
  readonly firstTokenMs?: number;
  readonly gapMs?: number;
  readonly outputTokens?: number;
}

/** Receives events of requests, for metrics. */
export interface GatewayEvents {
  recordResult(result: RequestResult): void;
  recordRetry(reason: string): void;
  recordContinuation(reason: string): void;
  recordHedge(): void;
}

/** The shutdown of the process. */
export interface GatewayShutdown extends CallShutdown {
  readonly isStopping: boolean;
  /** Resolves when a phase has begun, or a later one. */
  awaitPhase(phase: ShutdownPhase): Promise<void>;
}

/** The process that hosts the gateway. */
export interface GatewayHost {
  readonly vmId: string;
  readonly clock: Clock;
  readonly limits: RequestLimits;
  readonly claimLimits: ProcessSettings["claims"];
  readonly targets: TargetProvider;
  readonly loadTracker: LoadTracker;
  readonly model: EngineModel;
  readonly demand: DemandMeter;
  readonly retries: RetryBudget;
  readonly lookupReserve: LookupReserve;
  readonly claims: ClaimClient;
  readonly requestWatch: RequestWatch;
  readonly events: GatewayEvents;
  readonly shutdown: GatewayShutdown;
  /** Returns the error for new requests, or undefined if they are accepted. */
  readRefusal(): ServeError | undefined;
  readFleet(): Fleet | null;
  findProfile(name: string): Profile | undefined;
  getRouter(kind: RoutingKind): Router;
  /** Returns the number of VMs over which clients' requests are distributed. */
  countVms(): number;
  /** Reads a stream that another VM serves. */
  readRemoteStream(
    vmId: string,
    requestId: string,
    from: number,
  ): Promise<StreamSlice>;
}
