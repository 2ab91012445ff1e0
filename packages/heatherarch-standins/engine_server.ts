/**
 * An engine stand-in behind HTTP, in either dialect, with a ledger of the orders it was
 * given and switches for its failures.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type Koa from "koa";
import { request } from "undici";
import { type EngineOrder, type EngineRole, sleep } from "heatherarch-core";
import type { EngineDialect } from "heatherarch-settings";
import {
  DEFAULT_SPEEDS,
  type EngineCounters,
  EngineSimulation,
  type EngineSpeeds,
  type SequenceEnd,
} from "./engine_simulation.ts";
import { readJsonBody, StandinServer } from "./http_server.ts";

/** Options of {@linkcode EngineServer}. */
export interface EngineServerOptions {
  readonly id: string;
  readonly dialect: EngineDialect;
  readonly checksFencing: boolean;
  readonly role: EngineRole;
  readonly model: string;
  readonly version: string;
  readonly speeds?: EngineSpeeds;
  /** How old the load figures in a state report are, milliseconds. */
  readonly reportLagMs?: number;
}

/** What an engine was asked to do besides generating. */
export interface EngineLedger {
  ordersObeyed: number;
  ordersFenced: number;
  /** Orders obeyed while another change was in progress. */
  conflictingOrders: number;
  /** Orders obeyed though a later holder had already given one. */
  lapsedOrdersObeyed: number;
  /** Answers that an order cut off. */
  cutByOrder: number;
  tries: number;
  repeatedTries: number;
  /** Wall-clock time of the last request that began, milliseconds since the Unix epoch. */
  lastWorkAtMs: number;
}

interface OpenStream {
  readonly tryId: string;
  readonly tokens: string[];
  response: ServerResponse | undefined;
  end: SequenceEnd | undefined;
  /** Index of the first token that `response` is to get. */
  from: number;
}

/** Failures of an engine that can be switched on. */
export interface EngineFaults {
  /** Answers are sent with the id of another try. */
  crossAnswers: boolean;
  /** Answers end without their end marker after this many tokens; 0 for never. */
  truncateAfter: number;
  /** The engine crashes this long after taking an order; 0 for never. */
  crashInOrderMs: number;
  /** Generating for a prompt with this text ends the process for a while; empty for none. */
  crashesOn: string;
}

const RESUME_GRACE_MS = 400;
/** Time for which a process that a prompt ended is away, milliseconds. */
const CRASH_MS = 600;
const KEEP_ENDED_MS = 5000;

/** One engine stand-in. */
export class EngineServer {
  readonly options: EngineServerOptions;
  readonly ledger: EngineLedger = {
    ordersObeyed: 0,
    ordersFenced: 0,
    conflictingOrders: 0,
    lapsedOrdersObeyed: 0,
    cutByOrder: 0,
    tries: 0,
    repeatedTries: 0,
    lastWorkAtMs: 0,
  };
  readonly faults: EngineFaults = {
    crossAnswers: false,
    truncateAfter: 0,
    crashInOrderMs: 0,
    crashesOn: "",
  };
  readonly #simulation: EngineSimulation;
  readonly #server = new StandinServer((ctx) => this.#handle(ctx));
  readonly #streams = new Map<string, OpenStream>();
  readonly #kvHandles = new Set<string>();
  readonly #history: { atMs: number; counters: EngineCounters }[] = [];
  #model: string;
  #version: string;
  #changing = 0;
  #leaving = false;
  #down = false;
  #fencing = 0;
  #highestRef = 0;
  #changeTimer: NodeJS.Timeout | undefined;

  constructor(options: EngineServerOptions) {
    this.options = options;
    this.#model = options.model;
    this.#version = options.version;
    this.#simulation = new EngineSimulation(
      options.role,
      options.speeds ?? DEFAULT_SPEEDS,
    );
  }

  get role(): EngineRole {
    return this.#simulation.role;
  }

  listen(port = 0): Promise<string> {
    return this.#server.listen(port);
  }

  async close(): Promise<void> {
    this.#simulation.stop();
    clearTimeout(this.#changeTimer);
    await this.#server.close();
  }

  /** Crashes the engine; it comes back empty after `downMs`. */
  crash(downMs: number): void {
    this.#down = true;
    clearTimeout(this.#changeTimer);
    this.#changing = 0;
    this.#simulation.cutAll();
    this.#streams.clear();
    this.#kvHandles.clear();
    this.#server.cutConnections();
    setTimeout(() => (this.#down = false), downMs);
  }

  /** Goes silent with all connections left open. */
  freeze(ms: number): void {
    this.#simulation.setFrozen(true);
    setTimeout(() => this.#simulation.setFrozen(false), ms);
  }

  /** The engine itself reports that it is leaving. */
  setLeaving(leaving: boolean): void {
    this.#leaving = leaving;
  }

  async #handle(ctx: Koa.Context): Promise<void> {
    if (this.#down) {
      ctx.req.socket.destroy();
      ctx.respond = false;
      return;
    }
    const { path, method } = ctx;
    if (path === "/state" || path === "/metrics.json") {
      return this.#reportState(ctx);
    }
    if (path === "/v1/completions" || path === "/generate") {
      return await this.#generate(ctx);
    }
    if (path === "/orders" || path === "/control") {
      return await this.#takeOrder(ctx);
    }
    if (path.startsWith("/v1/streams/")) {
      const tryId = path.slice("/v1/streams/".length);
      if (method === "DELETE") this.#cancel(tryId);
      else this.#resume(ctx, tryId);
      return;
    }
    if (path.startsWith("/kv/")) {
      ctx.status = this.#kvHandles.has(path.slice("/kv/".length)) ? 200 : 404;
      ctx.body = "";
    }
  }

  #readLaggedCounters(): EngineCounters {
    const { reportLagMs = 0 } = this.options;
    const nowMs = performance.now();
    this.#history.push({
      atMs: nowMs,
      counters: this.#simulation.readCounters(),
    });
    while (
      this.#history.length > 1 && this.#history[1].atMs <= nowMs - reportLagMs
    ) {
      this.#history.shift();
    }
    return this.#history[0].counters;
  }

  #reportState(ctx: Koa.Context): void {
    const counters = this.#readLaggedCounters();
    const { role } = this.#simulation;
    if (this.options.dialect === "sse") {
      ctx.body = {
        role,
        model: this.#model,
        version: this.#version,
        changing: this.#changing > 0,
        draining: this.#leaving,
        running: counters.running,
        waiting: counters.waiting,
        pending_prefill_tokens: counters.pendingPrefillTokens,
        kv_used: counters.kvUsed,
        fencing: this.#fencing,
      };
      return;
    }
    ctx.body = {
      mode: role === "prefill" ? "P" : role === "decode" ? "D" : "PD",
      weights: `${this.#model}@${this.#version}`,
      reconfiguring: this.#changing > 0,
      leaving: this.#leaving,
      batch: counters.running,
      queue: counters.waiting,
      prefill_backlog: counters.pendingPrefillTokens,
      cache_pct: Math.round(counters.kvUsed * 100),
    };
  }

  async #generate(ctx: Koa.Context): Promise<void> {
    const body = await readJsonBody<Record<string, unknown>>(ctx);
    if (this.#changing > 0 || this.#down) {
      ctx.status = 503;
      ctx.body = { error: "reconfiguring" };
      return;
    }
    const tryId = String(body.try_id ?? body.tag);
    const kvImport = (body.kv_import ?? body.import) as
      | { address: string; handle: string }
      | undefined;
    if (kvImport !== undefined && !(await fetchKv(kvImport))) {
      ctx.status = 424;
      ctx.body = { error: "kv cache not available" };
      return;
    }
    if (this.#changing > 0 || this.#down) {
      ctx.status = 503;
      return;
    }
    this.ledger.tries++;
    if (this.#streams.has(tryId)) this.ledger.repeatedTries++;
    this.ledger.lastWorkAtMs = Date.now();
    const stream: OpenStream = {
      tryId,
      tokens: [],
      response: undefined,
      end: undefined,
      from: 0,
    };
    const { crashesOn } = this.faults;
    const prompt = String(body.prompt ?? body.input);
    if (crashesOn !== "" && prompt.includes(crashesOn)) {
      ctx.respond = false;
      this.crash(CRASH_MS);
      this.#server.endFor(CRASH_MS);
      return;
    }
    this.#streams.set(tryId, stream);
    this.#attach(ctx, stream);
    this.#simulation.submit({
      tryId,
      prompt,
      maxTokens: Number(body.max_tokens ?? body.max_new_tokens),
      priority: Number(body.priority ?? body.prio ?? 1),
      kvExport: Boolean(body.kv_export ?? body.export),
      kvImported: kvImport !== undefined,
    }, {
      onToken: (text) => this.#deliver(stream, text),
      onEnd: (end) => this.#finish(stream, end),
      onCut: () => {
        this.#streams.delete(tryId);
        stream.response?.destroy();
      },
    });
  }

  #resume(ctx: Koa.Context, tryId: string): void {
    const stream = this.#streams.get(tryId);
    if (stream === undefined) {
      ctx.status = 404;
      return;
    }
    stream.from = Number(ctx.query.from ?? 0);
    this.#attach(ctx, stream);
    for (const text of stream.tokens.slice(stream.from)) {
      this.#writeToken(stream, text);
    }
    if (stream.end !== undefined) this.#writeEnd(stream, stream.end);
  }

  #attach(ctx: Koa.Context, stream: OpenStream): void {
    ctx.respond = false;
    const { res } = ctx;
    const sse = this.options.dialect === "sse";
    res.writeHead(200, {
      "content-type": sse ? "text/event-stream" : "application/x-ndjson",
    });
    res.flushHeaders();
    stream.response = res;
    res.on("close", () => {
      if (stream.response !== res) return;
      stream.response = undefined;
      if (stream.end === undefined) {
        setTimeout(() => {
          if (stream.response === undefined) this.#cancel(stream.tryId);
        }, RESUME_GRACE_MS);
      }
    });
  }

  #cancel(tryId: string): void {
    this.#simulation.cancel(tryId);
    this.#streams.delete(tryId);
  }

  #deliver(stream: OpenStream, text: string): void {
    stream.tokens.push(text);
    this.#writeToken(stream, text);
    const { truncateAfter } = this.faults;
    if (truncateAfter > 0 && stream.tokens.length === truncateAfter) {
      this.#simulation.cancel(stream.tryId);
      stream.response?.end();
    }
  }

  #writeToken(stream: OpenStream, text: string): void {
    const id = this.faults.crossAnswers
      ? `${stream.tryId}-other`
      : stream.tryId;
    const line = this.options.dialect === "sse"
      ? `data: {"id":"${id}","choices":[{"text":"${text}","finish_reason":null}]}\n\n`
      : `{"tag":"${id}","s":"${text}"}\n`;
    if (!stream.response?.writableEnded) stream.response?.write(line);
  }

  #finish(stream: OpenStream, end: SequenceEnd): void {
    stream.end = end;
    if (end.kvHandle !== undefined) this.#kvHandles.add(end.kvHandle);
    this.#writeEnd(stream, end);
    setTimeout(() => {
      this.#streams.delete(stream.tryId);
      if (end.kvHandle !== undefined) this.#kvHandles.delete(end.kvHandle);
    }, KEEP_ENDED_MS);
  }

  #writeEnd(stream: OpenStream, end: SequenceEnd): void {
    const { promptTokens, cachedTokens, outputTokens, kvHandle } = end;
    if (this.options.dialect === "sse") {
      const chunk = {
        id: stream.tryId,
        choices: [{ text: "", finish_reason: "length" }],
        usage: {
          prompt_tokens: promptTokens,
          completion_tokens: outputTokens,
          cached_tokens: cachedTokens,
        },
        kv_handle: kvHandle,
      };
      stream.response?.end(
        `data: ${JSON.stringify(chunk)}\n\ndata: [DONE]\n\n`,
      );
      return;
    }
    const line = {
      tag: stream.tryId,
      end: "length",
      in: promptTokens,
      hit: cachedTokens,
      handle: kvHandle,
    };
    stream.response?.end(`${JSON.stringify(line)}\n`);
  }

  async #takeOrder(ctx: Koa.Context): Promise<void> {
    const body = await readJsonBody<Record<string, unknown>>(ctx);
    const ref = Number(body.fencing ?? body.ref ?? 0);
    if (this.options.checksFencing) {
      if (ref < this.#fencing) {
        this.ledger.ordersFenced++;
        ctx.status = 409;
        return;
      }
      this.#fencing = ref;
      if (this.#changing > 0) {
        ctx.status = 503;
        return;
      }
    }
    if (ref < this.#highestRef) this.ledger.lapsedOrdersObeyed++;
    this.#highestRef = Math.max(this.#highestRef, ref);
    if (this.#changing > 0) this.ledger.conflictingOrders++;
    this.ledger.ordersObeyed++;
    this.ledger.cutByOrder += this.#simulation.cutAll();
    this.#beginChange(readOrder(body));
    ctx.body = { accepted: true };
  }

  #beginChange(order: EngineOrder): void {
    const { changeMs } = this.#simulation.speeds;
    this.#changing++;
    if (this.faults.crashInOrderMs > 0) {
      void sleep(this.faults.crashInOrderMs).then(() => this.crash(1000));
      this.faults.crashInOrderMs = 0;
    }
    this.#changeTimer = setTimeout(() => {
      this.#changing = 0;
      if (order.kind === "setRole") this.#simulation.setRole(order.role);
      else {
        this.#model = order.model;
        this.#version = order.version;
      }
    }, changeMs);
  }
}

function readOrder(body: Record<string, unknown>): EngineOrder {
  if (body.kind === "setRole") {
    return { kind: "setRole", role: body.role as EngineRole };
  }
  if (body.set === "mode") {
    const role = body.mode === "P"
      ? "prefill"
      : body.mode === "D"
      ? "decode"
      : "mixed";
    return { kind: "setRole", role };
  }
  if (body.set === "weights") {
    const [model, version] = String(body.weights).split("@");
    return { kind: "loadModel", model, version };
  }
  return {
    kind: "loadModel",
    model: String(body.model),
    version: String(body.version),
  };
}

async function fetchKv(
  source: { address: string; handle: string },
): Promise<boolean> {
  try {
    const answer = await request(
      `http://${source.address}/kv/${source.handle}`,
      {
        signal: AbortSignal.timeout(1000),
      },
    );
    await answer.body.dump();
    return answer.statusCode === 200;
  } catch {
    return false;
  }
}
