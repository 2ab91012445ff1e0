/**
 * What the gateway needs from the process around it.
 *
 * @module
 */
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
import type { RequestWatch } from "./request_watch.ts";

/** Limits of requests, from the process settings. */
export type RequestLimits = ProcessSettings["requests"];

/** Targets as this VM sees them now. */
export interface TargetProvider {
  /** Targets of a service that may get new work. */
  listCandidates(service: string): Candidate[];
  findTarget(id: string): Target | undefined;
  getEngine(target: Target): EnginePort;
  getService(target: Target): ServicePort;
  /** A try on the target failed: others are preferred for a short time. */
  recordFailure(id: string): void;
  recordSuccess(id: string): void;
}

/** Answer of a finished call, as it is kept for repeats. */
export interface StoredResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Base64; absent where the answer was too large to keep. */
  readonly body?: string;
}

/** A claim on an idempotency key that this process may use. */
export interface HeldClaim {
  /** Whether the permission still holds. To be asked in the turn that writes the call. */
  isValid(): boolean;
  /** Records the answer. Returns at once; the record is retried in the background. */
  conclude(answer: StoredResponse): void;
  /**
   * Asks again for the permission of a claim that lapsed unused, under the same claim id.
   * To be called only where the call was certainly not handed over.
   */
  renew(): Promise<ClaimResult>;
  /** Gives the key back: the call was certainly not handed over. */
  release(): void;
}

/** Verdict on a claim. */
export type ClaimResult =
  | { readonly kind: "granted"; readonly claim: HeldClaim }
  | { readonly kind: "answered"; readonly answer: StoredResponse }
  | { readonly kind: "refused"; readonly error: ServeError };

/** Claims idempotency keys. */
export interface ClaimClient {
  claim(
    request: { key: string; madeAtMs: number; fingerprint: string },
  ): Promise<ClaimResult>;
}

/** Part of a stream that another VM serves. */
export interface StreamSlice {
  readonly texts: readonly string[];
  readonly state: "running" | "ended" | "failed" | "unknown";
  readonly kind?: ErrorKind;
  readonly model: string;
}

/** How a request ended, for metrics. */
export interface RequestResult {
  readonly service: string;
  readonly profile: string;
  readonly outcome: "ok" | ErrorKind;
  /** The answer was whole and within its deadline. */
  readonly isWithinDeadline: boolean;
  readonly durationMs: number;
  readonly firstTokenMs?: number;
  readonly gapMs?: number;
  readonly outputTokens?: number;
}

/** Told of what happens to requests. */
export interface GatewayEvents {
  recordResult(end: RequestResult): void;
  recordRetry(reason: string): void;
  recordContinuation(reason: string): void;
  recordHedge(): void;
}

/** The process around the gateway. */
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
  /** Why no new request is taken; undefined where all is well. */
  readRefusal(): ServeError | undefined;
  readFleet(): Fleet | null;
  findProfile(name: string): Profile | undefined;
  getRouter(kind: RoutingKind): Router;
  /** VMs that callers' requests are spread over. */
  countVms(): number;
  /** Reads a stream that another VM serves. */
  readRemoteStream(
    vmId: string,
    requestId: string,
    from: number,
  ): Promise<StreamSlice>;
}
