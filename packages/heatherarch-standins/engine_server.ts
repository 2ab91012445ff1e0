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
  type SequenceResult,
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
  readonly attemptId: string;
  readonly tokens: string[];
  response: ServerResponse | undefined;
  result: SequenceResult | undefined;
  /** Index of the first token that `response` is to get. */
  firstTokenIndex: number;
}

/** Failures of an engine that can be switched on. */
export interface EngineFaults {
  /** Answers are sent with the id of another try. */
  crossResponses: boolean;
  /** Answers end without their end marker after this many tokens; 0 for never. */
  truncateAfterTokens: number;
  /** The engine crashes this long after taking an order; 0 for never. */
  crashDuringOrderMs: number;
  /** Generating for a prompt with this text ends the process for a while; empty for none. */
  crashesOn: string;
}

const RESUME_GRACE_MS = 400;
/** Time for which a process that a prompt ended is away, milliseconds. */
const RESTART_DELAY_MS = 600;
const RESULT_RETENTION_MS = 5000;

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
    crossResponses: false,
    truncateAfterTokens: 0,
    crashDuringOrderMs: 0,
    crashesOn: "",
  };
  readonly #simulation: EngineSimulation;
  readonly #server = new StandinServer((ctx) => this.#handleRequest(ctx));
  readonly #streams = new Map<string, OpenStream>();
  readonly #handles = new Set<string>();
  readonly #counterHistory: { atMs: number; counters: EngineCounters }[] = [];
  #model: string;
  #version: string;
  #activeChanges = 0;
  #isLeaving = false;
  #isDown = false;
  #fencingToken = 0;
  #highestToken = 0;
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
    this.#isDown = true;
    clearTimeout(this.#changeTimer);
    this.#activeChanges = 0;
    this.#simulation.dropAll();
    this.#streams.clear();
    this.#handles.clear();
    this.#server.destroyConnections();
    setTimeout(() => (this.#isDown = false), downMs);
  }

  /** Goes silent with all connections left open. */
  freeze(ms: number): void {
    this.#simulation.setFrozen(true);
    setTimeout(() => this.#simulation.setFrozen(false), ms);
  }

  /** The engine itself reports that it is leaving. */
  setLeaving(leaving: boolean): void {
    this.#isLeaving = leaving;
  }

  async #handleRequest(ctx: Koa.Context): Promise<void> {
    if (this.#isDown) {
      ctx.req.socket.destroy();
      ctx.respond = false;
      return;
    }
    const { path, method } = ctx;
    if (path === "/state" || path === "/metrics.json") {
      return this.#reportState(ctx);
    }
    if (path === "/v1/completions" || path === "/generate") {
      return await this.#handleGeneration(ctx);
    }
    if (path === "/orders" || path === "/control") {
      return await this.#handleOrder(ctx);
    }
    if (path.startsWith("/v1/streams/")) {
      const attemptId = path.slice("/v1/streams/".length);
      if (method === "DELETE") this.#cancel(attemptId);
      else this.#handleResume(ctx, attemptId);
      return;
    }
    if (path.startsWith("/kv/")) {
      ctx.status = this.#handles.has(path.slice("/kv/".length)) ? 200 : 404;
      ctx.body = "";
    }
  }

  #readLaggedCounters(): EngineCounters {
    const { reportLagMs = 0 } = this.options;
    const nowMs = performance.now();
    this.#counterHistory.push({
      atMs: nowMs,
      counters: this.#simulation.readCounters(),
    });
    while (
      this.#counterHistory.length > 1 &&
      this.#counterHistory[1].atMs <= nowMs - reportLagMs
    ) {
      this.#counterHistory.shift();
    }
    return this.#counterHistory[0].counters;
  }

  #reportState(ctx: Koa.Context): void {
    const counters = this.#readLaggedCounters();
    const { role } = this.#simulation;
    if (this.options.dialect === "sse") {
      ctx.body = {
        role,
        model: this.#model,
        version: this.#version,
        changing: this.#activeChanges > 0,
        draining: this.#isLeaving,
        running: counters.running,
        waiting: counters.waiting,
        pending_prefill_tokens: counters.pendingPrefillTokens,
        kv_used: counters.kvUsed,
        fencing: this.#fencingToken,
      };
      return;
    }
    ctx.body = {
      mode: role === "prefill" ? "P" : role === "decode" ? "D" : "PD",
      weights: `${this.#model}@${this.#version}`,
      reconfiguring: this.#activeChanges > 0,
      leaving: this.#isLeaving,
      batch: counters.running,
      queue: counters.waiting,
      prefill_backlog: counters.pendingPrefillTokens,
      cache_pct: Math.round(counters.kvUsed * 100),
    };
  }

  async #handleGeneration(ctx: Koa.Context): Promise<void> {
    const body = await readJsonBody<Record<string, unknown>>(ctx);
    if (this.#activeChanges > 0 || this.#isDown) {
      ctx.status = 503;
      ctx.body = { error: "reconfiguring" };
      return;
    }
    const attemptId = String(body.try_id ?? body.tag);
    const kvImport = (body.kv_import ?? body.import) as
      | { address: string; handle: string }
      | undefined;
    if (kvImport !== undefined && !(await fetchKvCache(kvImport))) {
      ctx.status = 424;
      ctx.body = { error: "kv cache not available" };
      return;
    }
    if (this.#activeChanges > 0 || this.#isDown) {
      ctx.status = 503;
      return;
    }
    this.ledger.tries++;
    if (this.#streams.has(attemptId)) this.ledger.repeatedTries++;
    this.ledger.lastWorkAtMs = Date.now();
    const stream: OpenStream = {
      attemptId,
      tokens: [],
      response: undefined,
      result: undefined,
      firstTokenIndex: 0,
    };
    const { crashesOn } = this.faults;
    const prompt = String(body.prompt ?? body.input);
    if (crashesOn !== "" && prompt.includes(crashesOn)) {
      ctx.respond = false;
      this.crash(RESTART_DELAY_MS);
      this.#server.simulateExit(RESTART_DELAY_MS);
      return;
    }
    this.#streams.set(attemptId, stream);
    this.#attachResponse(ctx, stream);
    this.#simulation.submit({
      attemptId,
      prompt,
      maxTokens: Number(body.max_tokens ?? body.max_new_tokens),
      priority: Number(body.priority ?? body.prio ?? 1),
      kvExport: Boolean(body.kv_export ?? body.export),
      kvImported: kvImport !== undefined,
    }, {
      onToken: (text) => this.#handleToken(stream, text),
      onEnd: (result) => this.#handleEnd(stream, result),
      onDropped: () => {
        this.#streams.delete(attemptId);
        stream.response?.destroy();
      },
    });
  }

  #handleResume(ctx: Koa.Context, attemptId: string): void {
    const stream = this.#streams.get(attemptId);
    if (stream === undefined) {
      ctx.status = 404;
      return;
    }
    stream.firstTokenIndex = Number(ctx.query.from ?? 0);
    this.#attachResponse(ctx, stream);
    for (const text of stream.tokens.slice(stream.firstTokenIndex)) {
      this.#writeToken(stream, text);
    }
    if (stream.result !== undefined) this.#writeResult(stream, stream.result);
  }

  #attachResponse(ctx: Koa.Context, stream: OpenStream): void {
    ctx.respond = false;
    const { res } = ctx;
    const isSse = this.options.dialect === "sse";
    res.writeHead(200, {
      "content-type": isSse ? "text/event-stream" : "application/x-ndjson",
    });
    res.flushHeaders();
    stream.response = res;
    res.on("close", () => {
      if (stream.response !== res) return;
      stream.response = undefined;
      if (stream.result === undefined) {
        setTimeout(() => {
          if (stream.response === undefined) this.#cancel(stream.attemptId);
        }, RESUME_GRACE_MS);
      }
    });
  }

  #cancel(attemptId: string): void {
    this.#simulation.cancel(attemptId);
    this.#streams.delete(attemptId);
  }

  #handleToken(stream: OpenStream, text: string): void {
    stream.tokens.push(text);
    this.#writeToken(stream, text);
    const { truncateAfterTokens } = this.faults;
    if (
      truncateAfterTokens > 0 && stream.tokens.length === truncateAfterTokens
    ) {
      this.#simulation.cancel(stream.attemptId);
      stream.response?.end();
    }
  }

  #writeToken(stream: OpenStream, text: string): void {
    const id = this.faults.crossResponses
      ? `${stream.attemptId}-other`
      : stream.attemptId;
    const line = this.options.dialect === "sse"
      ? `data: {"id":"${id}","choices":[{"text":"${text}","finish_reason":null}]}\n\n`
      : `{"tag":"${id}","s":"${text}"}\n`;
    if (!stream.response?.writableEnded) stream.response?.write(line);
  }

  #handleEnd(stream: OpenStream, result: SequenceResult): void {
    stream.result = result;
    if (result.kvHandle !== undefined) this.#handles.add(result.kvHandle);
    this.#writeResult(stream, result);
    setTimeout(() => {
      this.#streams.delete(stream.attemptId);
      if (result.kvHandle !== undefined) this.#handles.delete(result.kvHandle);
    }, RESULT_RETENTION_MS);
  }

  #writeResult(stream: OpenStream, result: SequenceResult): void {
    const { promptTokens, cachedTokens, outputTokens, kvHandle } = result;
    if (this.options.dialect === "sse") {
      const chunk = {
        id: stream.attemptId,
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
      tag: stream.attemptId,
      end: "length",
      in: promptTokens,
      hit: cachedTokens,
      handle: kvHandle,
    };
    stream.response?.end(`${JSON.stringify(line)}\n`);
  }

  async #handleOrder(ctx: Koa.Context): Promise<void> {
    const body = await readJsonBody<Record<string, unknown>>(ctx);
    const orderToken = Number(body.fencing ?? body.ref ?? 0);
    if (this.options.checksFencing) {
      if (orderToken < this.#fencingToken) {
        this.ledger.ordersFenced++;
        ctx.status = 409;
        return;
      }
      this.#fencingToken = orderToken;
      if (this.#activeChanges > 0) {
        ctx.status = 503;
        return;
      }
    }
    if (orderToken < this.#highestToken) this.ledger.lapsedOrdersObeyed++;
    this.#highestToken = Math.max(this.#highestToken, orderToken);
    if (this.#activeChanges > 0) this.ledger.conflictingOrders++;
    this.ledger.ordersObeyed++;
    this.ledger.cutByOrder += this.#simulation.dropAll();
    this.#startChange(parseOrder(body));
    ctx.body = { accepted: true };
  }

  #startChange(order: EngineOrder): void {
    const { changeMs } = this.#simulation.speeds;
    this.#activeChanges++;
    if (this.faults.crashDuringOrderMs > 0) {
      void sleep(this.faults.crashDuringOrderMs).then(() => this.crash(1000));
      this.faults.crashDuringOrderMs = 0;
    }
    this.#changeTimer = setTimeout(() => {
      this.#activeChanges = 0;
      if (order.kind === "setRole") this.#simulation.setRole(order.role);
      else {
        this.#model = order.model;
        this.#version = order.version;
      }
    }, changeMs);
  }
}

function parseOrder(body: Record<string, unknown>): EngineOrder {
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

async function fetchKvCache(
  source: { address: string; handle: string },
): Promise<boolean> {
  try {
    const response = await request(
      `http://${source.address}/kv/${source.handle}`,
      {
        signal: AbortSignal.timeout(1000),
      },
    );
    await response.body.dump();
    return response.statusCode === 200;
  } catch {
    return false;
  }
}
