/**
 * Two targets that may start again under their ids, and one call that meets a scripted end of each
 * try. It keeps what really ran, to judge what the caller was told.
 *
 * @module
 */
import { RuntimeClock, type ServeError } from "heatherarch-core";
import { RequestQuarantine } from "heatherarch-quarantine";
import type { Dispatcher } from "undici";
import {
  buildInquiry,
  CacheRetention,
  type CallCodec,
  type CallerPort,
  type CallKind,
  CallRun,
  type EncodedTry,
  EngineJitter,
  ForwardMetrics,
  GenerationLife,
  ListGuard,
  MemoryEventLog,
  PlainLife,
  PrefillCandidateCache,
  PrefillQueue,
  PrefillTimeModel,
  PrefixIndex,
  PromptPlacer,
  RetryBudget,
  type Serving,
  type Target,
  TargetBackoffs,
  TargetConnections,
  TargetDirectory,
  TargetExchange,
  TargetHealth,
  type TryOptions,
  WorkTracker,
} from "../../mod.ts";
import { buildPrompt, buildRoute, buildTarget, TRAITS } from "./fixtures.ts";

/** How a try ends at the target, and for the one that sent it. */
export type ScriptedEnd =
  /** No connection. */
  | "notSent"
  /** Written, and lost before the target ran it. */
  | "lostBefore"
  /** Run, and the answer lost. */
  | "lostAfter"
  /** The target says that it did not run it. */
  | "refused"
  /** Run, with a failure of the target's own. */
  | "failed"
  /** Run, and cut off in the middle of its answer. */
  | "cut"
  | "ok";

/** One step of a script: how a try ends, and whether the target then starts again under its id. */
export interface ScriptedTry {
  readonly end: ScriptedEnd;
  readonly restarts: boolean;
}

/** What became of the call. */
export interface LivesOutcome {
  /** Targets' lives that ran the call, in order. */
  readonly runs: readonly string[];
  /** Status that the caller got; undefined where its connection was cut off. */
  readonly status: number | undefined;
  /** The answer was ended as a whole one. */
  readonly isWhole: boolean;
  readonly body: string;
  /** Steps of the script that were used. */
  readonly used: number;
}

const EVENTS = 3;

/** Serves one call of a kind; tries after the end of the script end well. */
export async function playScript(
  kind: CallKind,
  script: readonly ScriptedTry[],
): Promise<LivesOutcome> {
  const world = new LivesWorld(kind, script);
  return await world.play();
}

class LivesWorld {
  readonly #kind: CallKind;
  readonly #script: ScriptedTry[];
  readonly #length: number;
  readonly #directory = new TargetDirectory();
  readonly #runs: string[] = [];
  readonly #starts = new Map([["a", 1], ["b", 1]]);
  #status: number | undefined;
  #isWhole = false;
  #body = "";

  constructor(kind: CallKind, script: readonly ScriptedTry[]) {
    this.#kind = kind;
    this.#script = [...script];
    this.#length = script.length;
  }

  get #isStream(): boolean {
    return this.#kind === "stream" || this.#kind === "resumableStream";
  }

  async play(): Promise<LivesOutcome> {
    this.#list();
    const run = this.#buildRun();
    if (this.#isStream) {
      const prompt = buildPrompt("k", 100, 200);
      await new GenerationLife(run, prompt, TRAITS).serve();
    } else await new PlainLife(run).serve();
    return {
      runs: this.#runs,
      status: this.#status,
      isWhole: this.#isWhole,
      body: this.#body,
      used: this.#length - this.#script.length,
    };
  }

  #list(): void {
    const targets = [...this.#starts].map(([instance, start]): Target =>
      buildTarget(`${instance}@${start}`, {
        instance,
        startedAtMs: start,
        ...(this.#isStream ? { role: "decode", slots: 64 } : {}),
      })
    );
    // One engine reads prompts, and its life goes on.
    if (this.#isStream) targets.push(buildTarget("r", { role: "prefill" }));
    this.#directory.applyList(
      targets.map((value) => ({ key: value.instance ?? value.id, value })),
      0,
    );
  }

  #buildRun(): CallRun {
    const clock = new RuntimeClock();
    return new CallRun({
      serving: this.#buildServing(clock),
      call: {
        id: "call",
        method: "POST",
        path: "/a/x",
        host: "a.example",
        arrivedAtMs: clock.readMonotonicMs(),
        patienceMs: 5000,
        body: Buffer.alloc(0),
        headers: [],
      } as unknown as CallRun["call"],
      route: buildRoute({ kind: this.#kind, timeoutMs: 5000 }),
      service: { name: "s", maxConnections: 100 },
      configVersion: 1,
      caller: this.#buildCaller(),
    });
  }

  #buildServing(clock: RuntimeClock): Serving {
    const readModel = new PrefillTimeModel();
    const connections = new TargetConnections();
    connections.open = (target, request) => this.#open(target, request);
    const log = new MemoryEventLog();
    const metrics = new ForwardMetrics();
    const quarantine = new RequestQuarantine();
    return {
      clock,
      codec: buildCodec(),
      directory: this.#directory,
      health: new TargetHealth(),
      rests: new TargetBackoffs(),
      ledger: new WorkTracker(),
      connections,
      listGuard: buildIdleGuard(clock),
      quarantine,
      losses: buildInquiry(
        { quarantine, directory: this.#directory, clock, log, metrics },
        { probe: () => Promise.resolve("accepted") },
      ),
      allowance: new RetryBudget({
        fixedPerWindow: 1000,
        share: 1,
        windowMs: 10_000,
      }),
      placer: new PromptPlacer({ model: readModel }),
      spread: new EngineJitter({ vmId: "vm", drawUnit: () => 0 }),
      prompts: new PrefixIndex(),
      retention: new CacheRetention(),
      countVms: () => 1,
      readModel,
      readQueue: new PrefillQueue({ clock }),
      readerBoard: new PrefillCandidateCache(),
      log,
      metrics,
      drawUnit: () => 0,
    } as unknown as Serving;
  }

  #buildCaller(): CallerPort {
    const caller = {
      isGone: false,
      isAnswered: false,
      registerGone: () => () => undefined,
      registerDrain: () => undefined,
      writeHead: (status: number) => {
        caller.isAnswered = true;
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
      breakOff: () => {
        this.#isWhole = false;
      },
      fail: (error: ServeError) => {
        this.#status = error.status;
        this.#isWhole = true;
      },
    };
    return caller as unknown as CallerPort;
  }

  #open(target: Target, request: EncodedTry): TargetExchange {
    const isReading = request.path === "readPrompt";
    const step = isReading || request.path === "free"
      ? undefined
      : this.#script.shift();
    const end = step?.end ?? "ok";
    const dispatch = (
      _options: Dispatcher.DispatchOptions,
      handler: Dispatcher.DispatchHandler,
    ): boolean => {
      setImmediate(() => {
        this.#answer(target, request, end, handler);
        if (step?.restarts) this.#restart(target);
      });
      return true;
    };
    return new TargetExchange(
      { dispatch } as unknown as Dispatcher,
      `http://${target.address}`,
      request,
      { onDone: () => undefined, isCutOff: () => false },
    );
  }

  #restart({ instance = "" }: Target): void {
    const start = this.#starts.get(instance);
    if (start === undefined) return;
    this.#starts.set(instance, start + 1);
    this.#list();
  }

  #answer(
    target: Target,
    request: EncodedTry,
    end: ScriptedEnd,
    handler: Dispatcher.DispatchHandler,
  ): void {
    const controller = {
      abort: () => undefined,
      pause: () => undefined,
      resume: () => undefined,
      rawHeaders: [],
    } as unknown as Dispatcher.DispatchController;
    const isReading = request.path === "readPrompt";
    const fail = () => handler.onResponseError?.(controller, new Error(end));
    if (end === "notSent") return void fail();
    handler.onRequestStart?.(controller, {});
    if (end === "lostBefore") return void fail();
    const isRun = end !== "refused" && !isReading && request.path !== "free";
    if (isRun) this.#runs.push(target.id);
    if (end === "lostAfter") return void fail();
    const status = end === "refused" ? 503 : end === "failed" ? 500 : 200;
    const headers = { "x-not-run": String(end === "refused") };
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
    encodeTry: (_call: unknown, options: TryOptions): EncodedTry => ({
      path: options.stage,
      method: "POST",
      headers: ["last-event", options.lastEventId ?? "0"],
      body: null,
    }),
    decodeAnswer: (_status: number, headers: Record<string, string>) => ({
      callId: "call",
      signed: true,
      notRun: headers["x-not-run"] === "true",
      misdirected: false,
    }),
    decodeHandle: () => "handle",
    encodeFree: () => ({
      path: "free",
      method: "DELETE",
      headers: [],
      body: null,
    }),
  } as unknown as CallCodec;
}

/** A guard whose list is always known. */
function buildIdleGuard(clock: RuntimeClock): ListGuard {
  return new ListGuard({
    clock,
    usualTurnMs: Infinity,
    maxListAgeMs: Infinity,
    getListAgeMs: () => 0,
  });
}
