/**
 * One stream that a client takes up again at several VMs, before engines of two software versions. The
 * simulation runs the real handlers on all VMs, and records which versions wrote what the client has.
 *
 * @module
 */
import { RuntimeClock } from "heatherarch-core";
import {
  CallContext,
  type CallDependencies,
  type EncodedRequest,
  type EngineTraits,
  type ForwardedCall,
  GenerationHandler,
  type Route,
  StreamVersions,
  type Target,
  TargetConnections,
  TargetDirectory,
  TargetExchange,
} from "heatherarch-forward";
import type { Dispatcher } from "undici";
import { buildFakeDependencies, buildFakeResponse } from "./call_fakes.ts";

/** What keeps a stream at the software version that began it. */
export const STREAM_GUARDS = [
  "refusesUnknown",
  "picksOwnVersion",
  "tellsPeers",
  "keepsRecords",
] as const;
/** Name of a guard. */
export type StreamGuard = typeof STREAM_GUARDS[number];

/** One attempt of the client. */
export interface StreamAttempt {
  /** VM that receives it. */
  readonly vm: number;
  /** Whether the VM has neither peers nor the current list of targets at that time. */
  readonly isCutOff: boolean;
  /** Events that each engine sends in turn before it breaks off; the last one sends all. */
  readonly breaks: readonly number[];
  /** Engine that is no longer listed from then on; undefined for none. */
  readonly removedEngine: number | undefined;
}

/** What became of the stream. */
export interface StreamOutcome {
  /** Software versions that wrote the events that the client has. */
  readonly versions: readonly string[];
  /** Ids of the events that the client has, in order. */
  readonly eventIds: readonly number[];
  /** Attempts that were refused as not run although an engine ran them. */
  readonly untrueRefusals: number;
  /** Attempts that were refused as unknown although the VM and its peers were in touch all the time. */
  readonly needlessRefusals: number;
}

const VMS = 3;
const EVENTS = 6;
const TIMEOUT_MS = 5000;
const HTTP_UNAVAILABLE = 503;
const SERVICE = { name: "s", maxConnections: 100 };
const TRAITS: EngineTraits = {
  slots: 64,
  kvTokens: 100_000,
  kvBytesPerToken: 1,
  linkMbps: 1000,
  roleChangeMs: 0,
};
const PROMPT = { model: "m", promptTokens: 0, maxOutputTokens: 9, parts: [] };
/** Decode engines and their software versions. */
const VERSIONS: Readonly<Record<string, string>> = {
  a: "v1",
  b: "v1",
  c: "v2",
  d: "v2",
};
const PREFILL_PATH = "readPrompt";

/** Runs the attempts one after another, with one guard disabled if one is named. */
export async function simulateStream(
  attempts: readonly StreamAttempt[],
  disabledGuard?: StreamGuard,
): Promise<StreamOutcome> {
  return await new StreamSimulation(disabledGuard).run(attempts);
}

class StreamSimulation {
  readonly #disabledGuard: StreamGuard | undefined;
  readonly #clock = new RuntimeClock();
  readonly #records = Array.from({ length: VMS }, () => new StreamVersions());
  readonly #removed = new Set<string>();
  readonly #versions = new Set<string>();
  readonly #eventIds: number[] = [];
  #firstAttemptId: string | undefined;
  #wasCutOff = false;
  #runs = 0;
  #untrueRefusals = 0;
  #needlessRefusals = 0;

  constructor(disabledGuard: StreamGuard | undefined) {
    this.#disabledGuard = disabledGuard;
  }

  async run(attempts: readonly StreamAttempt[]): Promise<StreamOutcome> {
    for (const [i, attempt] of attempts.entries()) {
      if (this.#eventIds.length === EVENTS) break;
      await this.#runAttempt(`try-${i}`, attempt);
    }
    return {
      versions: [...this.#versions],
      eventIds: this.#eventIds,
      untrueRefusals: this.#untrueRefusals,
      needlessRefusals: this.#needlessRefusals,
    };
  }

  async #runAttempt(id: string, attempt: StreamAttempt): Promise<void> {
    const { vm, isCutOff, removedEngine } = attempt;
    if (removedEngine !== undefined) {
      this.#removed.add(Object.keys(VERSIONS)[removedEngine]);
    }
    this.#wasCutOff ||= isCutOff;
    const runsBefore = this.#runs;
    const hasBegun = this.#eventIds.length > 0;
    const context = new CallContext({
      dependencies: this.#buildDependencies(attempt),
      call: this.#buildCall(id),
      route: ROUTE,
      service: SERVICE,
      configVersion: 1,
      clientResponse: buildFakeResponse({
        onBytes: (bytes) => this.#receive(id, String(bytes)),
        onFailure: ({ status }) => {
          if (status !== HTTP_UNAVAILABLE) return;
          if (this.#runs > runsBefore) this.#untrueRefusals++;
          if (hasBegun && this.#mustGoOn()) this.#needlessRefusals++;
        },
      }),
    });
    await new GenerationHandler(context, PROMPT, TRAITS).serve();
    if (isCutOff || this.#disabledGuard === "tellsPeers") return;
    this.#tellPeers(vm);
  }

  /** Whether the VM knows the version, since all were in touch, and an engine of it is listed. */
  #mustGoOn(): boolean {
    const [version] = this.#versions;
    if (this.#wasCutOff) return false;
    return this.#listEngines(false).some((engine) =>
      engine.role === "decode" && engine.softwareVersion === version
    );
  }

  #tellPeers(from: number): void {
    const { records } = this.#records[from].listNew(0, "own");
    for (const peer of this.#records) {
      if (peer === this.#records[from]) continue;
      for (const record of records) peer.recordStream(record, "zone");
    }
  }

  #buildCall(id: string): ForwardedCall {
    const lastId = this.#eventIds.at(-1);
    return {
      id,
      method: "POST",
      path: "/a/x",
      host: "a.example",
      headers: [],
      body: Buffer.alloc(0),
      arrivedAtMs: this.#clock.readMonotonicMs(),
      clientTimeoutMs: TIMEOUT_MS,
      ...(lastId === undefined ? {} : {
        lastEventId: String(lastId),
        resumedAttemptId: this.#firstAttemptId,
      }),
    };
  }

  #receive(id: string, bytes: string): void {
    for (const [, eventId, version] of bytes.matchAll(/id: (\d+)\n(\S+)/g)) {
      this.#firstAttemptId ??= id;
      this.#eventIds.push(Number(eventId));
      this.#versions.add(version);
    }
  }

  #buildDependencies(attempt: StreamAttempt): CallDependencies {
    const directory = new TargetDirectory();
    directory.applyList(
      this.#listEngines(attempt.isCutOff).map((value) => ({
        key: value.id,
        value,
      })),
      0,
    );
    const connections = new TargetConnections();
    const breaks = [...attempt.breaks];
    connections.send = (target, request) => this.#send(target, request, breaks);
    return buildFakeDependencies({
      clock: this.#clock,
      codec: CODEC,
      directory,
      connections,
      streamVersions: this.#buildRecords(attempt),
      findStreamVersion: (key) => this.#findVersion(attempt, key),
    });
  }

  #buildRecords({ vm }: StreamAttempt): StreamVersions {
    if (this.#disabledGuard === "keepsRecords") {
      this.#records[vm] = new StreamVersions();
    }
    return this.#records[vm];
  }

  #findVersion(
    { vm, isCutOff }: StreamAttempt,
    key: string,
  ): Promise<string | undefined> {
    const known = this.#records[vm].findVersion(key) ??
      (isCutOff ? undefined : this.#findAtPeers(key));
    const isGuessed = known === undefined &&
      this.#disabledGuard === "refusesUnknown";
    return Promise.resolve(isGuessed ? VERSIONS.a : known);
  }

  #findAtPeers(key: string): string | undefined {
    if (this.#disabledGuard === "tellsPeers") return undefined;
    return this.#records.map((records) => records.findVersion(key))
      .find((version) => version !== undefined);
  }

  /** A VM that is cut off still lists engines that are gone for the others. */
  #listEngines(isCutOff: boolean): Target[] {
    const hidesVersions = this.#disabledGuard === "picksOwnVersion";
    const decodeEngines = Object.keys(VERSIONS)
      .filter((id) => isCutOff || !this.#removed.has(id))
      .map((id) =>
        buildEngine(id, "decode", hidesVersions ? "any" : VERSIONS[id])
      );
    return [buildEngine("r", "prefill", "v1"), ...decodeEngines];
  }

  #send(
    target: Target,
    request: EncodedRequest,
    breaks: number[],
  ): TargetExchange {
    const isRun = request.path !== PREFILL_PATH;
    const events = isRun ? breaks.shift() ?? EVENTS : 0;
    const dispatch = (
      _options: Dispatcher.DispatchOptions,
      handler: Dispatcher.DispatchHandler,
    ): boolean => {
      setImmediate(() => this.#respond(target, request, events, handler));
      return true;
    };
    return new TargetExchange(
      { dispatch },
      `http://${target.address}`,
      request,
      { onRelease: () => undefined },
    );
  }

  #respond(
    target: Target,
    request: EncodedRequest,
    events: number,
    handler: Dispatcher.DispatchHandler,
  ): void {
    const controller = {
      abort: () => undefined,
      pause: () => undefined,
      resume: () => undefined,
      rawHeaders: [],
    } as unknown as Dispatcher.DispatchController;
    handler.onRequestStart?.(controller, undefined);
    const isRun = request.path !== PREFILL_PATH;
    if (isRun) this.#runs++;
    const headers = { "call-id": request.headers[3] };
    handler.onResponseStart?.(controller, 200, headers, "");
    const first = Number(request.headers[1]) + 1;
    const last = isRun ? Math.min(EVENTS, first + events - 1) : 0;
    for (let id = first; id <= last; id++) {
      const bytes = Buffer.from(`id: ${id}\n${VERSIONS[target.id]}\n\n`);
      handler.onResponseData?.(controller, bytes);
    }
    if (isRun && last < EVENTS) {
      handler.onResponseError?.(controller, new Error("broken off"));
    } else handler.onResponseEnd?.(controller, {});
  }
}

const ROUTE: Route = {
  name: "r",
  host: "a.example",
  pathPrefix: "/a/",
  kind: "resumableStream",
  timeoutMs: TIMEOUT_MS,
  aimMs: 300,
  priority: 0,
  maxTargets: 3,
  isKeyExempt: false,
  services: [{ service: SERVICE.name, weight: 1 }],
};

function buildEngine(
  id: string,
  role: "prefill" | "decode",
  softwareVersion: string,
): Target {
  return {
    id,
    service: SERVICE.name,
    address: "127.0.0.1:1",
    availabilityZone: "zone-a",
    slots: 64,
    leaving: false,
    role,
    softwareVersion,
  };
}

const CODEC: Partial<CallDependencies["codec"]> = {
  encodeAttempt: (call, { stage, lastEventId }): EncodedRequest => ({
    path: stage,
    method: "POST",
    headers: [
      "last-event",
      lastEventId ?? call.lastEventId ?? "0",
      "call-id",
      call.id,
    ],
    body: null,
  }),
  decodeResponse: (_status, headers) => ({
    callId: headers["call-id"] as string,
    signed: true,
    notRun: false,
    misdirected: false,
    isLeaving: false,
  }),
  decodeKvHandle: () => "handle",
  encodeHandleRelease: () => ({
    path: PREFILL_PATH,
    method: "DELETE",
    headers: ["last-event", "0"],
    body: null,
  }),
};
