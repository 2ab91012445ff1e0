/**
 * The narrow interfaces that a platform adapter implements.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Address } from "heatherarch-core";
import type {
  EngineReport,
  ForwardedCall,
  RoutingConfig,
  Target,
  TargetRole,
  VmRecord,
} from "./model.ts";

/** One record of a topic of keyed records; without a value the key was removed. */
export interface KeyedEntry<T> {
  readonly key: string;
  readonly value?: T;
  /** The newest record can't be understood: it names nothing, also where an earlier one did. */
  readonly isUnreadable?: true;
}

/** Entries together with the offset from which later changes are read. */
export interface TopicSlice<T> {
  readonly entries: readonly KeyedEntry<T>[];
  readonly next: number;
}

/** The platform's store did not answer, or refused. A write may have taken effect. */
export class StoreUnavailableError extends Error {
  constructor(detail: string, cause?: unknown) {
    super(`platform store: ${detail}`, { cause });
    this.name = "StoreUnavailableError";
  }
}

/** A topic of keyed records. Every call may throw {@linkcode StoreUnavailableError}. */
export interface KeyedTopicPort<T> {
  /** The newest record of each key. An answer may take `timeoutMs`. */
  load(timeoutMs?: number): Promise<TopicSlice<T>>;
  /**
   * Records from `from` on; undefined where these have expired. The store waits up to `waitMs` for
   * one, and its answer may take `timeoutMs` more.
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

/** A request that is held back, as it is kept for VMs that start; its key is the digest. */
export interface QuarantineRecord {
  readonly account: string;
  /** Lives of targets that ended under it. */
  readonly lives: readonly string[];
  /** Time of the latest end, Unix milliseconds. */
  readonly atUnixMs: number;
}

/** All that the forwarding path keeps in, or learns from, the platform's store. */
export interface DirectoryPorts {
  readonly configs: KeyedTopicPort<RoutingConfig>;
  readonly targets: KeyedTopicPort<Target>;
  readonly vms: WritableTopicPort<VmRecord>;
  readonly quarantine: WritableTopicPort<QuarantineRecord>;
}

/** How one try of a call is sent. */
export interface AttemptOptions {
  readonly target: Target;
  /** Time that the target may spend, milliseconds. */
  readonly timeoutMs: number;
  /** What the try is for: a whole run, reading a prompt, or a run that takes a KV cache over. */
  readonly stage: "whole" | "readPrompt" | "takeOver";
  /** The engine that read the prompt, and its handle; for `takeOver`. */
  readonly kvSource?: KvHandle;
  /** An engine from which cached parts of the prompt are fetched first. */
  readonly fetchFrom?: Address;
  /** 0 is first, 9 is last; undefined leaves the engine's default. */
  readonly enginePriority?: number;
  /** Go on after this event. */
  readonly lastEventId?: string;
}

/** KV cache that an engine holds for one call. */
export interface KvHandle {
  readonly address: Address;
  readonly handle: string;
}

/** A request ready to be written to a target. */
export interface EncodedRequest {
  readonly path: string;
  readonly method: string;
  readonly headers: string[];
  readonly body: Buffer | null;
}

/** What the head of a target's answer says, besides its status. */
export interface ResponseMetadata {
  /** Id of the call that the answer belongs to, as the target says. */
  readonly callId?: string;
  /** The answer bears the target's signature. */
  readonly signed: boolean;
  /** The target says that it did not run the request and never will. */
  readonly notRun: boolean;
  /** The target does not take such a request: it is another incarnation, or in another role. */
  readonly misdirected: boolean;
  /** The target says that it will stop. */
  readonly isLeaving: boolean;
  /** Time for which the target wants no requests of this VM, milliseconds. */
  readonly backoffMs?: number;
  /** Id of the incarnation that answered, where it says so. */
  readonly answeredBy?: string;
  /** Requests running and waiting at the target, where it tells. */
  readonly load?: {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
  };
}

/** Translates calls and answers between the wire and the model. */
export interface CallCodec {
  /** Reads what a client's head says. Throws a `ServeError` for a malformed head. */
  decodeCall(head: ClientRequestHead): Omit<ForwardedCall, "body">;
  encodeAttempt(call: ForwardedCall, options: AttemptOptions): EncodedRequest;
  decodeResponse(
    status: number,
    headers: IncomingHttpHeaders,
  ): ResponseMetadata;
  /** Reads the answer to a `readPrompt` try; undefined where it holds no handle. */
  decodeKvHandle(body: Buffer): string | undefined;
  /** The request that frees a handle. */
  encodeHandleRelease(handle: string): EncodedRequest;
  /** The request that asks an engine for its report. */
  encodeReportRequest(target: Target): EncodedRequest;
  /** Reads a report; undefined where it is none. */
  decodeReport(body: Buffer): EngineReport | undefined;
  /** The request that asks an engine which prompt parts it keeps. */
  encodeCacheListRequest(target: Target): EncodedRequest;
  /** Ids of the parts in such an answer; undefined where it is none. */
  decodeCacheList(body: Buffer): readonly string[] | undefined;
  /** The request that changes an engine's role. */
  encodeRoleOrder(order: RoleOrder): EncodedRequest;
}

/** Head of a client's request as the HTTP server read it. */
export interface ClientRequestHead {
  readonly method: string;
  readonly url: string;
  readonly headers: IncomingHttpHeaders;
  readonly rawHeaders: readonly string[];
  readonly arrivedAtMs: number;
}

/** An order to an engine, under a lease. */
export interface RoleOrder {
  readonly target: Target;
  readonly role: TargetRole;
  readonly holder: string;
  /** Fencing token of the lease. */
  readonly fencing: number;
  /** The engine refuses the order unless it has accepted this many before. */
  readonly ordersTaken: number;
}
