/**
 * Calls of all kinds at one VM whose ports and decoders throw or reject at drawn moments. The simulation
 * runs the real server of calls, and records what clients get, what targets really ran, and what calls
 * hold afterwards.
 *
 * @module
 */
import { RuntimeClock, type ServeError, sleep } from "heatherarch-core";
import {
  CallContext,
  type CallDependencies,
  type CallKind,
  CallServer,
  type ClientResponse,
  type EncodedRequest,
  type ForwardedCall,
  type Route,
  RouteTable,
  type ServiceSpec,
  type Target,
  TargetConnections,
  TargetDirectory,
  TargetExchange,
} from "heatherarch-forward";
import type { Dispatcher } from "undici";
import { buildFakeDependencies } from "./call_fakes.ts";

/**
 * What makes an error a result: of its attempt, of its call, and of the call's own wait in a queue.
 */
export const ERROR_GUARDS = ["attempt", "call", "queue"] as const;
/** Name of a guard. */
export type ErrorGuard = typeof ERROR_GUARDS[number];

/** Where an error comes up. */
export const ERROR_PORTS = [
  "connect",
  "encode",
  "head",
  "handle",
  "writeHead",
  "write",
  "offer",
  "ledger",
  "search",
  "directory",
  "config",
  "log",
  "metrics",
  "health",
  "incarnation",
  "end",
] as const;
/** Name of a port or a decoder in the path of a call. */
export type ErrorPort = typeof ERROR_PORTS[number];

/** Errors of one port: it is used some times, and then fails some times. */
export interface PortFault {
  readonly port: ErrorPort;
  readonly skipped: number;
  readonly count: number;
}

/** A schedule of calls, which all arrive at once. */
export interface ErrorSchedule {
  readonly kinds: readonly CallKind[];
  readonly faults: readonly PortFault[];
}

/** What became of one call. */
export interface ErrorCallOutcome {
  readonly kind: CallKind;
  /** Status that the client received; undefined without one. */
  readonly status: number | undefined;
  /** Whether an error response promises that the call has not run. */
  readonly isPromised: boolean;
  /** How the response ended; undefined if it did not end. */
  readonly end: "whole" | "cut" | undefined;
  readonly body: string;
  readonly runs: number;
  readonly tookMs: number;
}

/** What became of the calls of a schedule. */
export interface ErrorOutcome {
  readonly calls: readonly ErrorCallOutcome[];
  /** Calls of all kinds after the errors have ended. */
  readonly laterCalls: readonly ErrorCallOutcome[];
  /** What is still held after all calls have ended; empty if nothing is. */
  readonly held: readonly string[];
  /** Errors that nothing handled. */
  readonly unhandled: readonly string[];
  /** Number of errors that came up. */
  readonly errors: number;
}

/** Timeout of all calls, milliseconds. Nothing but an error keeps one waiting for long. */
export const CALL_TIMEOUT_MS = 3000;
/** Body of a complete plain response. */
export const PLAIN_BODY = "the whole response";
const EVENTS = 3;
/** Bytes of a complete stream. */
export const STREAM_BODY = Array.from(
  { length: EVENTS },
  (_, i) => `id: ${i + 1}\n\n`,
).join("");
/** Time that a target works on a request, milliseconds. */
const WORK_MS = 2;
/** Time after which nothing is held for a call that has ended, milliseconds. */
const SETTLE_MS = 40;
const KINDS = ["once", "idempotent", "stream", "resumableStream"] as const;
const SERVICES: readonly ServiceSpec[] = [
  { name: "plain", maxConnections: 100 },
  {
    name: "engines",
    maxConnections: 100,
    engine: {
      slots: 64,
      kvTokens: 100_000,
      kvBytesPerToken: 1,
      linkMbps: 1000,
      roleChangeMs: 0,
    },
  },
];
const PREFILL_PATH = "readPrompt";

/** Runs one schedule, with one guard disabled if one is named. */
export async function simulateErrors(
  schedule: ErrorSchedule,
  disabledGuard?: ErrorGuard,
): Promise<ErrorOutcome> {
  const unhandled: string[] = [];
  const record = (error: unknown): void => void unhandled.push(String(error));
  process.on("unhandledRejection", record);
  process.on("uncaughtException", record);
  const restore = disableGuard(disabledGuard);
  try {
    const simulation = new ErrorSimulation(schedule, disabledGuard);
    return { ...await simulation.run(), unhandled };
  } finally {
    restore();
    process.off("unhandledRejection", record);
    process.off("uncaughtException", record);
  }
}

/** Lets errors pass a boundary that otherwise turns them into results. Returns a function that undoes it. */
function disableGuard(guard: ErrorGuard | undefined): () => void {
  const { reportError, endAfterError } = CallContext.prototype;
  if (guard === "attempt") {
    CallContext.prototype.reportError = function (place, thrown, fields) {
      reportError.call(this, place, thrown, fields);
      if (place === "attempt") throw thrown;
    };
  } else if (guard === "call") {
    CallContext.prototype.endAfterError = (thrown) => {
      throw thrown;
    };
  }
  return () => {
    CallContext.prototype.reportError = reportError;
    CallContext.prototype.endAfterError = endAfterError;
  };
}

/** Counts the uses of the ports, and throws at the drawn ones. */
class PortFaults {
  readonly #faults: readonly PortFault[];
  readonly #uses = new Map<ErrorPort, number>();
  #areOver = false;
  errors = 0;

  constructor(faults: readonly PortFault[]) {
    this.#faults = faults;
  }

  end(): void {
    this.#areOver = true;
  }

  use(port: ErrorPort): void {
    if (this.#areOver) return;
    const use = this.#uses.get(port) ?? 0;
    this.#uses.set(port, use + 1);
    const isDue = this.#faults.some((fault) =>
      fault.port === port && use >= fault.skipped &&
      use < fault.skipped + fault.count
    );
    if (!isDue) return;
    this.errors++;
    throw new RangeError(`broken ${port}`);
  }

  /** Lets all methods of an object, or of its parts, use a port. */
  wrap<T extends object>(port: ErrorPort, wrapped: T, depth = 1): T {
    return new Proxy(wrapped, {
      get: (object, key) => {
        const value = Reflect.get(object, key, object);
        // The gauge that shows what is held works.
        if (key === "inFlight") return value;
        if (typeof value === "function" && depth === 1) {
          return (...args: unknown[]) => {
            this.use(port);
            return value.apply(object, args);
          };
        }
        const isPart = depth > 1 && typeof value === "object" && value !== null;
        return isPart ? this.wrap(port, value, depth - 1) : value;
      },
    });
  }
}

class ErrorSimulation {
  readonly #schedule: ErrorSchedule;
  readonly #disabledGuard: ErrorGuard | undefined;
  readonly #clock = new RuntimeClock();
  readonly #faults: PortFaults;
  readonly #runs = new Map<string, number>();
  readonly #dependencies: CallDependencies;
  readonly #plain: CallDependencies;
  readonly #server: CallServer;
  readonly #listeners = new Set<unknown>();
  #nextId = 0;

  constructor(
    schedule: ErrorSchedule,
    disabledGuard: ErrorGuard | undefined,
  ) {
    this.#schedule = schedule;
    this.#disabledGuard = disabledGuard;
    this.#faults = new PortFaults(schedule.faults);
    this.#plain = this.#buildPlainDependencies();
    this.#dependencies = this.#buildDependencies();
    this.#server = new CallServer(this.#dependencies);
  }

  async run(): Promise<Omit<ErrorOutcome, "unhandled">> {
    const calls = await this.#serveAll(this.#schedule.kinds);
    this.#faults.end();
    await sleep(SETTLE_MS);
    const held = await this.#listHeld();
    const laterCalls = await this.#serveAll(KINDS);
    return { calls, laterCalls, held, errors: this.#faults.errors };
  }

  #serveAll(kinds: readonly CallKind[]): Promise<ErrorCallOutcome[]> {
    return Promise.all(kinds.map((kind) => this.#serve(kind)));
  }

  async #serve(kind: CallKind): Promise<ErrorCallOutcome> {
    const id = `call-${this.#nextId++}`;
    const startedAtMs = this.#clock.readMonotonicMs();
    const received = {
      status: undefined as number | undefined,
      isPromised: false,
      end: undefined as "whole" | "cut" | undefined,
      body: "",
    };
    const served = this.#server.serve(
      buildCall(id, kind, startedAtMs),
      this.#buildResponse(received),
    );
    await Promise.race([
      served.catch(() => undefined),
      sleep(CALL_TIMEOUT_MS + SETTLE_MS),
    ]);
    const tookMs = this.#clock.readMonotonicMs() - startedAtMs;
    return { kind, ...received, runs: this.#runs.get(id) ?? 0, tookMs };
  }

  #buildResponse(
    received: {
      status: number | undefined;
      isPromised: boolean;
      end: "whole" | "cut" | undefined;
      body: string;
    },
  ): ClientResponse {
    const faults = this.#faults;
    const response = {
      isDisconnected: false,
      isHeadSent: false,
      registerDisconnectListener: (listener: () => void) =>
        this.#registerListener(listener),
      registerDrainListener: () => undefined,
      writeHead: (status: number) => {
        faults.use("writeHead");
        response.isHeadSent = true;
        received.status = status;
      },
      write: (bytes: Buffer) => {
        faults.use("write");
        received.body += String(bytes);
        return true;
      },
      end: (bytes?: Buffer) => {
        if (bytes !== undefined) received.body += String(bytes);
        received.end ??= "whole";
      },
      destroy: () => {
        received.end ??= "cut";
      },
      fail: (error: ServeError) => {
        received.status = error.status;
        received.isPromised = error.run === "no";
        received.end ??= "whole";
        response.isHeadSent = true;
      },
    };
    return response;
  }

  #registerListener(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Lists what calls hold. */
  async #listHeld(): Promise<string[]> {
    const { prefillQueue, plainCallQueues, metrics } = this.#plain;
    const held: string[] = [];
    const check = (name: string, count: number): void => {
      if (count !== 0) held.push(`${name}: ${count}`);
    };
    check("prefill queue", prefillQueue.size);
    for (const { service, queue } of plainCallQueues.listQueues()) {
      check(`queue of ${service}`, queue.size);
    }
    const { values } = await metrics.inFlight.get();
    check("in flight", values[0]?.value ?? 0);
    check("listeners", this.#listeners.size);
    const nowMs = this.#clock.readMonotonicMs();
    for (const { id } of TARGETS) {
      const { workTracker } = this.#plain;
      check(`prefills at ${id}`, workTracker.getPrefillBacklogMs(id, nowMs));
    }
    return held;
  }

  #buildPlainDependencies(): CallDependencies {
    const clock = this.#clock;
    const directory = new TargetDirectory();
    directory.applyList(
      TARGETS.map((value) => ({ key: value.id, value })),
      0,
    );
    const connections = new TargetConnections();
    connections.send = (target, request) => {
      this.#faults.use("connect");
      return this.#send(target, request);
    };
    return buildFakeDependencies({
      clock,
      codec: this.#buildCodec(),
      directory,
      connections,
      registerLossListener: (_service, listener) =>
        this.#registerListener(listener),
      offerCall: () => {
        this.#faults.use("offer");
        return Promise.resolve(undefined);
      },
    });
  }

  #buildDependencies(): CallDependencies {
    const faults = this.#faults;
    const plain = this.#plain;
    const table = new RouteTable({
      version: 1,
      routes: KINDS.map(buildRoute),
      services: [...SERVICES],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 65_536,
        headerTimeoutMs: 3000,
        idleTimeoutMs: 15_000,
      },
      accounts: null,
    });
    if (this.#disabledGuard === "queue") this.#forgetQueueErrors();
    return {
      ...plain,
      activeConfig: {
        get table() {
          faults.use("config");
          return table;
        },
        version: 1,
        getAgeMs: () => 0,
      },
      accountAdmission: {
        admit: (call: ForwardedCall) => ({ call, account: undefined }),
      },
      directory: faults.wrap("directory", plain.directory),
      health: faults.wrap("health", plain.health),
      retryBudget: faults.wrap("ledger", plain.retryBudget),
      plainWorkModel: faults.wrap("search", plain.plainWorkModel),
      placer: faults.wrap("search", plain.placer),
      log: faults.wrap("log", plain.log),
      metrics: faults.wrap("metrics", plain.metrics, 2),
      incarnationCheck: faults.wrap("incarnation", plain.incarnationCheck),
      endConfirmation: faults.wrap("end", plain.endConfirmation),
    } as unknown as CallDependencies;
  }

  /** Lets the errors of waiting calls leave the dispatch. */
  #forgetQueueErrors(): void {
    const { prefillQueue, plainCallQueues } = this.#plain;
    for (
      const queue of [
        prefillQueue,
        plainCallQueues.getQueue("plain"),
      ] as typeof prefillQueue[]
    ) {
      const enqueue = queue.enqueue.bind(queue);
      queue.enqueue = (call) => enqueue({ ...call, onError: undefined });
    }
  }

  #buildCodec(): Partial<CallDependencies["codec"]> {
    return {
      encodeAttempt: (call, { stage, lastEventId }): EncodedRequest => {
        this.#faults.use("encode");
        const headers = ["last-event", lastEventId ?? "0", "call-id", call.id];
        return { path: stage, method: "POST", headers, body: null };
      },
      decodeResponse: (_status, headers) => {
        this.#faults.use("head");
        return {
          callId: headers["call-id"] as string,
          signed: true,
          notRun: false,
          misdirected: false,
          isLeaving: false,
        };
      },
      decodeKvHandle: () => {
        this.#faults.use("handle");
        return "handle";
      },
      encodeHandleRelease: () => ({
        path: PREFILL_PATH,
        method: "DELETE",
        headers: ["last-event", "0", "call-id", ""],
        body: null,
      }),
    };
  }

  #send(target: Target, request: EncodedRequest): TargetExchange {
    const dispatch = (
      _options: Dispatcher.DispatchOptions,
      handler: Dispatcher.DispatchHandler,
    ): boolean => {
      setTimeout(() => this.#respond(target, request, handler), WORK_MS);
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
    handler: Dispatcher.DispatchHandler,
  ): void {
    let isAborted = false;
    const isPrefill = request.path === PREFILL_PATH;
    const id = String(request.headers[3]);
    const isStream = target.service === "engines";
    const body = isStream ? "" : PLAIN_BODY;
    const controller = {
      abort: (reason: Error) => {
        if (isAborted) return;
        isAborted = true;
        handler.onResponseError?.(controller, reason);
      },
      pause: () => undefined,
      resume: () => undefined,
      rawHeaders: isStream ? [] : ["content-length", String(body.length)],
    } as unknown as Dispatcher.DispatchController;
    handler.onRequestStart?.(controller, undefined);
    if (isAborted) return;
    if (!isPrefill) this.#runs.set(id, (this.#runs.get(id) ?? 0) + 1);
    const headers = {
      "call-id": id,
      ...(isStream ? {} : { "content-length": String(body.length) }),
    };
    handler.onResponseStart?.(controller, 200, headers, "");
    const parts = isPrefill
      ? []
      : isStream
      ? STREAM_BODY.split(/(?<=\n\n)/).slice(Number(request.headers[1]))
      : [body];
    for (const part of parts) {
      if (!isAborted) handler.onResponseData?.(controller, Buffer.from(part));
    }
    if (!isAborted) handler.onResponseEnd?.(controller, {});
  }
}

function buildRoute(kind: CallKind): Route {
  const isStream = kind === "stream" || kind === "resumableStream";
  return {
    name: kind,
    host: "a.example",
    pathPrefix: `/${kind}/`,
    kind,
    timeoutMs: CALL_TIMEOUT_MS,
    aimMs: 600,
    priority: 0,
    maxTargets: kind === "once" ? 1 : 2,
    isKeyExempt: false,
    services: [{ service: isStream ? "engines" : "plain", weight: 1 }],
  };
}

const TARGETS: readonly Target[] = [
  buildTarget("a", "plain"),
  buildTarget("b", "plain"),
  buildTarget("r", "engines", "prefill"),
  buildTarget("q", "engines", "prefill"),
  buildTarget("d", "engines", "decode"),
  buildTarget("e", "engines", "decode"),
];

function buildTarget(
  id: string,
  service: string,
  role?: "prefill" | "decode",
): Target {
  return {
    id,
    service,
    address: "127.0.0.1:1",
    availabilityZone: "zone-a",
    slots: role === undefined ? 1 : 64,
    leaving: false,
    ...(role === undefined ? {} : { role, softwareVersion: "v1" }),
  };
}

function buildCall(
  id: string,
  kind: CallKind,
  arrivedAtMs: number,
): ForwardedCall {
  return {
    id,
    method: "POST",
    path: `/${kind}/x`,
    host: "a.example",
    headers: [],
    body: Buffer.alloc(0),
    arrivedAtMs,
    clientTimeoutMs: CALL_TIMEOUT_MS,
    generation: {
      model: "m",
      promptTokens: 300,
      maxOutputTokens: 9,
      parts: [],
    },
  };
}
