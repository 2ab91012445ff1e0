/**
 * Simulates one call against two targets that may restart under the same ids. A script gives the
 * result of each attempt. The simulation records which targets really ran the call, so that tests
 * can check what the client was told.
 *
 * @module
 */
import { ReadBarrier, RuntimeClock, type ServeError } from "heatherarch-core";
import type {
  HandoverConnection,
  HandoverListener,
} from "heatherarch-handover";
import { ReportTrust, TargetLoads } from "heatherarch-load";
import { PartQuarantine, RequestQuarantine } from "heatherarch-quarantine";
import type { Dispatcher } from "undici";
import {
  type AttemptOptions,
  buildCrashDetector,
  CacheRetention,
  type CallCodec,
  CallContext,
  type CallDependencies,
  type CallKind,
  CallQueue,
  type ClientResponse,
  ConnectionPreference,
  type EncodedRequest,
  EngineJitter,
  ExchangeError,
  FleetRetryBudget,
  ForwardMetrics,
  GenerationHandler,
  MemoryEventLog,
  NO_ATTEMPTS,
  PlainCallHandler,
  PlainCallQueues,
  PlainTimeModel,
  PlainWorkModel,
  PrefillCandidateCache,
  PrefillTimeModel,
  PrefixIndex,
  PromptPlacer,
  StreamVersions,
  type Target,
  TargetBackoffs,
  TargetConnections,
  TargetDirectory,
  TargetExchange,
  TargetHealth,
  TargetListGuard,
  VersionLives,
  WorkTracker,
} from "../../mod.ts";
import {
  buildIdlePathMonitor,
  buildPrompt,
  buildRateLimits,
  buildRoute,
  buildTarget,
  createShutdown,
  TRAITS,
} from "./fixtures.ts";

/** How an attempt ends, at the target and at the sender. */
export type ScriptedResult =
  /** No connection. */
  | "notSent"
  /** Nothing is written, for a reason of this VM. */
  | "withheld"
  /** Sent, but lost before the target ran it. */
  | "lostBefore"
  /** Run, but the response is lost. */
  | "lostAfter"
  /** The target reports that it did not run the request. */
  | "refused"
  /** Another incarnation responds, which does not run the request. */
  | "misdirected"
  /** Run, with an error response. */
  | "failed"
  /** Run, with a status that would promise the client that it was not, as a failing target may send. */
  | "falsePromise"
  /** Run, but the response is truncated. */
  | "cut"
  /** An error comes up before anything is sent. */
  | "unsendable"
  /** Run, but an error comes up while the head of the response is read. */
  | "undecodable"
  /** Run, but an error comes up while the response is sent to the client. */
  | "unwritable"
  | "ok";

/** One step of a script: how an attempt ends, and whether the target then restarts under its id. */
export interface ScriptedAttempt {
  readonly end: ScriptedResult;
  readonly restarts: boolean;
}

/** Outcome of the call. */
export interface ScriptOutcome {
  /** Incarnations of targets that ran the call, in order. */
  readonly runs: readonly string[];
  /** Status that the client received; undefined if its connection was closed without one. */
  readonly status: number | undefined;
  /** Whether the response ended as a complete one. */
  readonly isWhole: boolean;
  readonly body: string;
  /** Number of steps of the script that were used. */
  readonly used: number;
  /** Number of times that an engine was asked to prefill the prompt. */
  readonly prefills: number;
  /** Prefills and runs that reached a target, beyond the first of each. Prefills always succeed. */
  readonly retries: number;
  /** Retries that the call took from the retry budget and did not give back. */
  readonly retriesTaken: number;
  /** Events that the VM logged. */
  readonly events: readonly string[];
  /** Counts the runs that the VM believes to be in progress at the targets now. */
  readonly countInFlight: () => number;
}

const EVENTS = 3;

/** What the only peer does with a call that is offered to it. */
export type ScriptedPeer = "declines" | "acceptsAndRefuses";

/** Serves one call of a kind. Attempts after the end of the script succeed. */
export async function runScript(
  kind: CallKind,
  script: readonly ScriptedAttempt[],
  { peer = "declines" }: { readonly peer?: ScriptedPeer } = {},
): Promise<ScriptOutcome> {
  const call = new ScriptedCall(kind, script, peer);
  return await call.run();
}

class ScriptedCall {
  readonly #kind: CallKind;
  readonly #script: ScriptedAttempt[];
  readonly #length: number;
  readonly #directory = new TargetDirectory();
  readonly #workTracker = new WorkTracker();
  readonly #executions: string[] = [];
  readonly #starts = new Map([["a", 1], ["b", 1]]);
  #status: number | undefined;
  #isWhole = false;
  #body = "";
  #prefills = 0;
  /** Runs and rejected runs that reached a target. */
  #runRequests = 0;
  /** Whether an error comes up when the head of the response is sent to the client. */
  #isUnwritable = false;
  readonly #log = new MemoryEventLog();
  readonly #peer: ScriptedPeer;

  constructor(
    kind: CallKind,
    script: readonly ScriptedAttempt[],
    peer: ScriptedPeer,
  ) {
    this.#kind = kind;
    this.#peer = peer;
    this.#script = [...script];
    this.#length = script.length;
  }

  get #isStream(): boolean {
    return this.#kind === "stream" || this.#kind === "resumableStream";
  }

  async run(): Promise<ScriptOutcome> {
    this.#listTargets();
    const context = this.#buildContext();
    if (this.#isStream) {
      const prompt = buildPrompt("k", 100, 200);
      await new GenerationHandler(context, prompt, TRAITS).serve();
    } else await new PlainCallHandler(context).serve();
    return {
      runs: this.#executions,
      status: this.#status,
      isWhole: this.#isWhole,
      body: this.#body,
      used: this.#length - this.#script.length,
      prefills: this.#prefills,
      retries: Math.max(0, this.#prefills - 1) +
        Math.max(0, this.#runRequests - 1),
      retriesTaken: this.#log.lines
        .filter(({ event }) => event === "callEnded")
        .reduce((sum, { fields }) => sum + Number(fields.retriesTaken), 0),
      events: this.#log.lines.map(({ event }) => event),
      countInFlight: () => this.#countInFlight(),
    };
  }

  #countInFlight(): number {
    return [...this.#starts].reduce((sum, [instance, start]) => {
      const id = `${instance}@${start}`;
      return sum + this.#workTracker.getRunLoad(id, performance.now()).runs;
    }, 0);
  }

  #listTargets(): void {
    const targets = [...this.#starts].map(([instance, start]): Target =>
      buildTarget(`${instance}@${start}`, {
        instance,
        startedAtMs: start,
        ...(this.#isStream ? { role: "decode", slots: 64 } : {}),
      })
    );
    // One prefill engine, which never restarts.
    if (this.#isStream) targets.push(buildTarget("r", { role: "prefill" }));
    this.#directory.applyList(
      targets.map((value) => ({ key: value.instance ?? value.id, value })),
      0,
    );
  }

  #buildContext(): CallContext {
    const clock = new RuntimeClock();
    return new CallContext({
      dependencies: this.#buildDependencies(clock),
      call: {
        id: "call",
        method: "POST",
        path: "/a/x",
        host: "a.example",
        arrivedAtMs: clock.readMonotonicMs(),
        clientTimeoutMs: 5000,
        body: Buffer.alloc(0),
        headers: [],
      } as unknown as CallContext["call"],
      route: buildRoute({ kind: this.#kind, timeoutMs: 5000 }),
      service: { name: "s", maxConnections: 100 },
      configVersion: 1,
      clientResponse: this.#buildClientResponse(),
    });
  }

  #buildDependencies(clock: RuntimeClock): CallDependencies {
    const prefillTimeModel = new PrefillTimeModel();
    const connections = new TargetConnections();
    connections.send = (target, request) => this.#send(target, request);
    const log = this.#log;
    const metrics = new ForwardMetrics();
    const quarantine = new RequestQuarantine();
    const pathMonitor = buildIdlePathMonitor();
    return {
      clock,
      codec: buildCodec(),
      activeConfig: { version: 1 },
      directory: this.#directory,
      health: new TargetHealth(),
      backoffs: new TargetBackoffs(),
      ...buildRateLimits(),
      workTracker: this.#workTracker,
      connections,
      targetListGuard: buildIdleGuard(clock),
      readBarrier: new ReadBarrier(),
      shutdown: createShutdown(clock),
      quarantine,
      partQuarantine: new PartQuarantine(),
      incarnationCheck: { check: () => Promise.resolve("same") },
      endConfirmation: { confirm: () => Promise.resolve(true) },
      crashDetector: buildCrashDetector(
        {
          quarantine,
          directory: this.#directory,
          pathMonitor,
          clock,
          log,
          metrics,
        },
        { probe: () => Promise.resolve("accepted") },
      ),
      streamVersions: new StreamVersions(),
      versionLives: new VersionLives(),
      findStreamVersion: () => Promise.resolve(undefined),
      findOnlyVersion: () => Promise.resolve(undefined),
      awaitVersionListed: () => Promise.resolve(),
      retryBudget: new FleetRetryBudget({
        fixedPerWindow: 1000,
        share: 1,
        windowMs: 10_000,
      }),
      placer: new PromptPlacer({ model: prefillTimeModel }),
      engineJitter: new EngineJitter({ vmId: "vm", drawUnit: () => 0 }),
      connectionPreference: new ConnectionPreference({
        connections: { hasIdle: () => true, idleTimeoutMs: 4000 },
        getCallsPerMinute: () => 0,
      }),
      prefixIndex: new PrefixIndex(),
      retention: new CacheRetention(),
      countVms: () => 1,
      prefillTimeModel,
      prefillQueue: new CallQueue({ clock }),
      plainCallQueues: new PlainCallQueues({ clock }),
      plainWorkModel: new PlainWorkModel(),
      targetLoads: new TargetLoads(),
      reportTrust: new ReportTrust(),
      plainTimeModel: new PlainTimeModel(),
      prefillCandidateCache: new PrefillCandidateCache(),
      log,
      metrics,
      pathMonitor,
      handoverClient: {
        offerCall: (_offer: unknown, asked: Set<string>) =>
          Promise.resolve(this.#acceptOffer(asked)),
      },
      drawUnit: () => 0,
    } as unknown as CallDependencies;
  }

  #buildClientResponse(): ClientResponse {
    const clientResponse = {
      isDisconnected: false,
      isHeadSent: false,
      registerDisconnectListener: () => () => undefined,
      registerDrainListener: () => undefined,
      writeHead: (status: number) => {
        if (this.#isUnwritable) throw new TypeError("Invalid character");
        clientResponse.isHeadSent = true;
        this.#status = status;
      },
      write: (bytes: Buffer) => {
        this.#body += String(bytes);
        return true;
      },
      end: (bytes?: Buffer) => {
        this.#body += String(bytes ?? "");
        this.#isWhole = true;
      },
      destroy: () => {
        this.#isWhole = false;
      },
      fail: (error: ServeError) => {
        this.#status = error.status;
        this.#isWhole = true;
      },
    };
    return clientResponse as unknown as ClientResponse;
  }

  #acceptOffer(asked: Set<string>): HandoverConnection | undefined {
    if (this.#peer === "declines" || asked.has("peer")) return undefined;
    asked.add("peer");
    const failure = {
      ...NO_ATTEMPTS,
      kind: "noTarget",
      run: "no",
      message: "no retry is left",
      retryAfterMs: 0,
    } as const;
    return {
      peer: { id: "peer" },
      send: (_head: unknown, _body: Buffer, listener: HandoverListener) =>
        queueMicrotask(() => listener.onFailure(failure)),
      close: () => undefined,
      isClosed: false,
    } as unknown as HandoverConnection;
  }

  #send(target: Target, request: EncodedRequest): TargetExchange {
    const isPrefill = request.path === "readPrompt";
    if (isPrefill) this.#prefills++;
    const step = isPrefill || request.path === "free"
      ? undefined
      : this.#script.shift();
    const end = step?.end ?? "ok";
    if (end === "unsendable") throw new TypeError("Invalid URL");
    this.#isUnwritable = end === "unwritable";
    const dispatch = (
      _options: Dispatcher.DispatchOptions,
      handler: Dispatcher.DispatchHandler,
    ): boolean => {
      setImmediate(() => {
        this.#respond(target, request, end, handler);
        if (step?.restarts) this.#restart(target);
      });
      return true;
    };
    return new TargetExchange(
      { dispatch } as unknown as Dispatcher,
      `http://${target.address}`,
      request,
      { onRelease: () => undefined },
    );
  }

  #restart({ instance = "" }: Target): void {
    const start = this.#starts.get(instance);
    if (start === undefined) return;
    this.#starts.set(instance, start + 1);
    this.#listTargets();
  }

  #respond(
    target: Target,
    request: EncodedRequest,
    end: ScriptedResult,
    handler: Dispatcher.DispatchHandler,
  ): void {
    const controller = {
      abort: () => undefined,
      pause: () => undefined,
      resume: () => undefined,
      rawHeaders: [],
    } as unknown as Dispatcher.DispatchController;
    const isPrefill = request.path === "readPrompt";
    const error = end === "withheld"
      ? new ExchangeError("withheld", end)
      : new Error(end);
    const fail = () => handler.onResponseError?.(controller, error);
    if (end === "notSent" || end === "withheld") return void fail();
    handler.onRequestStart?.(controller, {});
    if (!isPrefill && request.path !== "free") this.#runRequests++;
    if (end === "lostBefore") return void fail();
    const isRun = end !== "refused" && end !== "misdirected" && !isPrefill &&
      request.path !== "free";
    if (isRun) this.#executions.push(target.id);
    if (end === "lostAfter") return void fail();
    const status = end === "refused" || end === "falsePromise"
      ? 503
      : end === "failed"
      ? 500
      : 200;
    const headers = {
      "x-not-run": String(end === "refused"),
      "x-misdirected": String(end === "misdirected"),
      "x-undecodable": String(end === "undecodable"),
    };
    handler.onResponseStart?.(controller, status, headers, "");
    const first = Number(request.headers[1]) + 1;
    for (let id = first; id <= EVENTS; id++) {
      if (end === "cut" && id > first) return void fail();
      const event = Buffer.from(`id: ${id}\n\n`);
      handler.onResponseData?.(controller, event);
    }
    if (end === "cut") return void fail();
    handler.onResponseEnd?.(controller, {});
  }
}

function buildCodec(): CallCodec {
  return {
    encodeAttempt: (
      _call: unknown,
      options: AttemptOptions,
    ): EncodedRequest => ({
      path: options.stage,
      method: "POST",
      headers: ["last-event", options.lastEventId ?? "0"],
      body: null,
    }),
    decodeResponse: (_status: number, headers: Record<string, string>) => {
      if (headers["x-undecodable"] === "true") throw new TypeError("no header");
      return {
        callId: "call",
        signed: true,
        notRun: headers["x-not-run"] === "true",
        misdirected: headers["x-misdirected"] === "true",
      };
    },
    decodeKvHandle: () => "handle",
    encodeHandleRelease: () => ({
      path: "free",
      method: "DELETE",
      headers: [],
      body: null,
    }),
  } as unknown as CallCodec;
}

/** Builds a guard whose list is always fresh. */
function buildIdleGuard(clock: RuntimeClock): TargetListGuard {
  return new TargetListGuard({
    clock,
    tickIntervalMs: Infinity,
    maxListAgeMs: Infinity,
    getListAgeMs: () => 0,
  });
}
