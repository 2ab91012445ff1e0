/**
 * The narrow interfaces that a platform adapter implements.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Address } from "heatherarch-core";
import type { LoadReport } from "heatherarch-load";
import type {
  EngineReport,
  ForwardedCall,
  RoutingConfig,
  Target,
  TargetRole,
  VmRecord,
} from "./model.ts";

/** One record of a keyed topic. Without a value the key was removed. */
export interface KeyedEntry<T> {
  readonly key: string;
  readonly value?: T;
  /** The newest record can't be decoded. It has no value, even if an earlier record had one. */
  readonly isUnreadable?: true;
  /** Why the record can't be decoded, if that is known. */
  readonly reason?: string;
}

/** Entries, and the offset from which later changes are read. */
export interface TopicSlice<T> {
  readonly entries: readonly KeyedEntry<T>[];
  readonly next: number;
  /** Whether more records were stored than one response holds. */
  readonly hasMore?: boolean;
  /** Epoch of the store to which the offsets belong; undefined if the store names none. */
  readonly epoch?: number;
}

/** Thrown when the platform's store did not respond or refused. A write may have taken effect. */
export class StoreUnavailableError extends Error {
  constructor(detail: string, cause?: unknown) {
    super(`platform store: ${detail}`, { cause });
    this.name = "StoreUnavailableError";
  }
}

/** A topic of keyed records. Every method may throw {@linkcode StoreUnavailableError}. */
export interface KeyedTopicPort<T> {
  /** Loads the newest record of each key. The response may take up to `timeoutMs`. */
  load(timeoutMs?: number): Promise<TopicSlice<T>>;
  /**
   * Reads the records from offset `from` on; undefined if they have expired or the topic ends before
   * that offset. The store waits up to `waitMs` for a record, and its response may take another
   * `timeoutMs`.
   */
  readChanges(
    from: number,
    waitMs: number,
    timeoutMs?: number,
  ): Promise<TopicSlice<T> | undefined>;
}

/** A keyed topic that the system itself writes. */
export interface WritableTopicPort<T> extends KeyedTopicPort<T> {
  /** Writes the newest record of `key`; undefined removes the key. */
  put(key: string, value: T | undefined): Promise<void>;
}

/** A quarantined request, stored for VMs that start later under the digest of the request. */
export interface QuarantineRecord {
  readonly account: string;
  /** Incarnations of targets that crashed on the request. */
  readonly lives: readonly string[];
  /** Time of the latest crash, Unix milliseconds. */
  readonly atUnixMs: number;
}

/** Since when the versions of targets are recorded in an epoch of the store. */
export interface VersionCoverage {
  readonly kind: "coverage";
  readonly epoch: number;
  /** Unix milliseconds; 0 if no VM ran before. */
  readonly sinceUnixMs: number;
}

/** A software version of targets, stored for VMs that start later. */
export type VersionRecord = VersionCoverage | {
  readonly kind: "life";
  readonly service: string;
  readonly softwareVersion: string;
  /** Time at which a VM saw that no target has the version, Unix milliseconds. */
  readonly endedAtUnixMs?: number;
};

/** Tells which epoch of the platform's store responds; see `StoreEpoch`. */
export interface StoreEpochPort {
  /** Registers a listener for the epoch of each response; returns a function that removes it. */
  registerEpochListener(listener: (epoch: number) => void): () => void;
}

/** Topics of the platform's store that the forwarding path reads or writes. */
export interface DirectoryPorts {
  readonly configs: KeyedTopicPort<RoutingConfig>;
  readonly targets: KeyedTopicPort<Target>;
  readonly vms: WritableTopicPort<VmRecord>;
  readonly quarantine: WritableTopicPort<QuarantineRecord>;
  readonly versions: WritableTopicPort<VersionRecord>;
}

/** How one attempt of a call is sent. */
export interface AttemptOptions {
  readonly target: Target;
  /** Time that the target may take, milliseconds. */
  readonly timeoutMs: number;
  /** Purpose of the attempt: a whole run, a prefill, or a run that takes over a KV cache. */
  readonly stage: "whole" | "readPrompt" | "takeOver";
  /** The engine that prefilled the prompt, and the handle of its KV cache; for `takeOver`. */
  readonly kvSource?: KvHandle;
  /** An engine from which cached parts of the prompt are fetched first. */
  readonly fetchFrom?: Address;
  /** 0 is highest, 9 is lowest; if undefined, the engine uses its default. */
  readonly enginePriority?: number;
  /** Resume the stream after this event. */
  readonly lastEventId?: string;
}

/** Handle of a KV cache that an engine holds for one call. */
export interface KvHandle {
  readonly address: Address;
  readonly handle: string;
}

/** A request, encoded for a target. */
export interface EncodedRequest {
  readonly path: string;
  readonly method: string;
  readonly headers: string[];
  readonly body: Buffer | null;
}

/** What the head of a target's response contains, besides its status. */
export interface ResponseMetadata {
  /** Id of the call that the response belongs to, according to the target; undefined without exactly one. */
  readonly callId?: string;
  /** The response has the target's signature. */
  readonly signed: boolean;
  /** The target did not run the request and never will. */
  readonly notRun: boolean;
  /** The target rejects the request because it is another incarnation, or has another role. */
  readonly misdirected: boolean;
  /** The target will stop. */
  readonly isLeaving: boolean;
  /** Time for which the target asks for no requests from this VM, milliseconds. */
  readonly backoffMs?: number;
  /**
   * Rate limit of the target: requests per second that it takes from all VMs together. Undefined if
   * it has none.
   */
  readonly maxRequestsPerSecond?: number;
  /** Id of the incarnation that responded, if it is given. */
  readonly answeredBy?: string;
  /** Load of the target, if it reports it. */
  readonly load?: LoadReport;
}

/** Thrown when the platform's API did not respond or refused. A request may have been carried out. */
export class PlatformApiError extends Error {
  constructor(detail: string, cause?: unknown) {
    super(`platform API: ${detail}`, { cause });
    this.name = "PlatformApiError";
  }
}

/** The VM that performs a duty of the fleet, and its fencing token. */
export interface DutyClaim {
  readonly holder: string;
  readonly fencing: number;
}

/** Result of performing a duty; `fenced` if a higher fencing token was seen before. */
export type DutyOutcome = "done" | "fenced";

/** Result of an order of targets. */
export type OrderResponse = "accepted" | "unavailable" | "fenced";

/** Calls that began to run in one window, by client account. */
export interface UsageReport {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** An order of a number of targets. */
export interface CapacityRequest {
  readonly service: string;
  readonly availabilityZone: string;
  readonly kind: "standard" | "spot";
  readonly count: number;
}

/** The platform's API for duties of the fleet. All methods may throw {@linkcode PlatformApiError}. */
export interface PlatformApiPort {
  reportUsage(claim: DutyClaim, report: UsageReport): Promise<DutyOutcome>;
  /** A response does not tell a lower fencing token and a lack of targets apart. */
  orderCapacity(
    claim: DutyClaim,
    order: CapacityRequest,
  ): Promise<"accepted" | "refused">;
}

/** Translates calls and responses between the wire format and the model. */
export interface CallCodec {
  /** Decodes the head of a client's request. Throws a `ServeError` if it is malformed. */
  decodeCall(head: ClientRequestHead): Omit<ForwardedCall, "body">;
  /** Encodes the request of one attempt. */
  encodeAttempt(call: ForwardedCall, options: AttemptOptions): EncodedRequest;
  /** Decodes the head of a target's response. */
  decodeResponse(
    status: number,
    headers: IncomingHttpHeaders,
  ): ResponseMetadata;
  /** Decodes the response to a `readPrompt` attempt; undefined if it has no handle. */
  decodeKvHandle(body: Buffer): string | undefined;
  /** Encodes the request that releases a handle. */
  encodeHandleRelease(handle: string): EncodedRequest;
  /** Encodes the request for an engine's report. */
  encodeReportRequest(target: Target): EncodedRequest;
  /** Decodes a report; undefined if the body is not a report. */
  decodeReport(body: Buffer): EngineReport | undefined;
  /** Encodes the request for the list of prompt parts that an engine has cached. */
  encodeCacheListRequest(target: Target): EncodedRequest;
  /** Decodes the ids of the cached parts; undefined if the body is not such a list. */
  decodeCacheList(body: Buffer): readonly string[] | undefined;
  /** Encodes the request that changes an engine's role. */
  encodeRoleOrder(order: RoleOrder): EncodedRequest;
}

/** Head of a client's request, as parsed by the HTTP server. */
export interface ClientRequestHead {
  readonly method: string;
  readonly url: string;
  readonly headers: IncomingHttpHeaders;
  readonly rawHeaders: readonly string[];
  readonly arrivedAtMs: number;
}

/** An order to an engine to change its role, given under a lease. */
export interface RoleOrder {
  readonly target: Target;
  readonly role: TargetRole;
  readonly holder: string;
  /** Fencing token of the lease. */
  readonly fencing: number;
  /** The engine refuses the order unless it has accepted exactly this many orders before. */
  readonly ordersTaken: number;
}
