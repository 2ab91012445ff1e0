/**
 * Writes the response of a generation: streamed or in one piece, new or resumed.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type Koa from "koa";
import { buildErrorBody, type ErrorKind, ServeError } from "heatherarch-core";
import type { Profile } from "heatherarch-settings";
import type {
  GatewayHost,
  RequestResult,
  StreamSlice,
} from "./gateway_host.ts";
import { Generation } from "./generation.ts";
import type { GenerationStore } from "./generation_store.ts";
import { findOwningVm, formatRoute } from "./request_params.ts";
import { registerResponseEnd } from "./response_end.ts";
import type { RequestEnding } from "./request_ending.ts";
import type { AdmittedRequest } from "./request_watch.ts";
import {
  buildCompletion,
  buildSseEvent,
  ChunkBuilder,
  type GenerationRequest,
  type Usage,
} from "./openai_format.ts";

/** Options of {@linkcode handleGeneration}. */
export interface GenerationResponseOptions {
  readonly host: GatewayHost;
  readonly store: GenerationStore;
  readonly request: GenerationRequest;
  readonly requestId: string;
  readonly service: string;
  readonly profile: Profile;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly deadlineAtMs: number;
  /** Whether the generation continues after its client disconnects, and can be resumed. */
  readonly resumable: boolean;
  readonly admitted: AdmittedRequest;
  readonly ending: RequestEnding;
  /** Releases the slot of the client account. */
  readonly release: () => void;
}

/** The connection of a client that reads too slowly is closed at this many unsent bytes. */
const MAX_UNSENT_BYTES = 8 * 1024 * 1024;
const RESUME_WAIT_MS = 1000;

/** Writes one response. */
interface ResponseWriter {
  writeTokens(texts: readonly string[]): void;
  writeEnd(reason: string, usage: Usage): void;
  writeError(error: ServeError): void;
}

/** Runs a generation and writes its response. Rejects only if no byte has been written. */
export function handleGeneration(
  ctx: Koa.Context,
  options: GenerationResponseOptions,
): Promise<void> {
  return new Promise((resolve, reject) => {
    const { host, store, request, requestId, resumable } = options;
    const stored = resumable ? store.open(requestId, request) : undefined;
    const startedAtMs = host.clock.readMonotonicMs();
    const writer = request.stream
      ? new StreamResponseWriter(ctx, options, reject)
      : new BufferedResponseWriter(ctx, options, reject);
    let isFinished = false;
    let untrack = (): void => undefined;
    const finish = (error: ServeError | undefined): void => {
      if (isFinished) return;
      isFinished = true;
      untrack();
      options.admitted.end(error === undefined);
      options.release();
      store.complete(requestId, error, host.limits.resumeWindowMs);
      recordResult(options, generation, startedAtMs, error?.kind ?? "ok");
      resolve();
    };
    const generation = new Generation({
      ...options,
      model: request.model,
      prompt: request.prompt,
      sink: {
        onTokens: (texts) => {
          if (stored !== undefined) {
            stored.texts.push(...texts);
            for (const notify of [...stored.listeners]) notify();
          }
          writer.writeTokens(texts);
        },
        onEnd: (reason, usage) => {
          writer.writeEnd(reason, usage);
          finish(undefined);
        },
        onError: (error) => {
          writer.writeError(error);
          finish(error);
        },
      },
    });
    const started = generation.start();
    if (!started.ok) {
      const error = started.val as ServeError;
      reject(error);
      return finish(error);
    }
    options.ending.setHandler(() => generation.endForShutdown());
    if (resumable) {
      // It outlasts its request, which is tracked until the client has left.
      untrack = host.shutdown.trackCall(generation);
      if (isFinished) untrack();
      return;
    }
    registerResponseEnd(ctx, () => {
      // A client may disconnect between the end of the generation and that of its response.
      if (isFinished) return;
      isFinished = true;
      generation.cancel();
      options.admitted.end(false);
      options.release();
      recordResult(options, generation, startedAtMs, "clientGone");
      resolve();
    });
  });
}

function recordResult(
  options: GenerationResponseOptions,
  generation: Generation,
  startedAtMs: number,
  outcome: RequestResult["outcome"],
): void {
  const nowMs = options.host.clock.readMonotonicMs();
  if (outcome === "ok") {
    options.host.shutdown.recordServed(
      formatRoute(options.service, options.profile),
      nowMs - startedAtMs,
    );
  }
  options.host.events.recordResult({
    service: options.service,
    profile: options.profile.name,
    outcome,
    isWithinDeadline: outcome === "ok" && nowMs <= options.deadlineAtMs,
    durationMs: nowMs - startedAtMs,
    firstTokenMs: generation.firstTokenMs,
    gapMs: generation.meanGapMs,
    outputTokens: generation.delivered.length,
  });
}

/** Writes tokens as server-sent events when they arrive. */
class StreamResponseWriter implements ResponseWriter {
  readonly #ctx: Koa.Context;
  readonly #chunks: ChunkBuilder;
  readonly #requestId: string;
  readonly #reject: (error: ServeError) => void;
  #isStarted = false;

  constructor(
    ctx: Koa.Context,
    options: GenerationResponseOptions,
    reject: (error: ServeError) => void,
  ) {
    this.#ctx = ctx;
    this.#requestId = options.requestId;
    this.#reject = reject;
    const createdMs = options.host.clock.readWallMs();
    this.#chunks = new ChunkBuilder(
      options.request,
      options.requestId,
      createdMs,
    );
  }

  writeTokens(texts: readonly string[]): void {
    const start = this.#startStream();
    writeToClient(this.#ctx.res, start + this.#chunks.buildTokenChunks(texts));
  }

  writeEnd(reason: string, usage: Usage): void {
    const start = this.#startStream();
    this.#ctx.res.end(start + this.#chunks.buildFinalChunks(reason, usage));
  }

  writeError(error: ServeError): void {
    if (!this.#isStarted) return this.#reject(error);
    this.#ctx.res.end(buildSseEvent(buildErrorBody(error, this.#requestId)));
  }

  #startStream(): string {
    if (this.#isStarted) return "";
    this.#isStarted = true;
    startEventStream(this.#ctx);
    return this.#chunks.buildFirstChunk();
  }
}

/** Buffers the tokens and writes one JSON response. */
class BufferedResponseWriter implements ResponseWriter {
  readonly #ctx: Koa.Context;
  readonly #options: GenerationResponseOptions;
  readonly #reject: (error: ServeError) => void;
  readonly #texts: string[] = [];

  constructor(
    ctx: Koa.Context,
    options: GenerationResponseOptions,
    reject: (error: ServeError) => void,
  ) {
    this.#ctx = ctx;
    this.#options = options;
    this.#reject = reject;
  }

  writeTokens(texts: readonly string[]): void {
    this.#texts.push(...texts);
  }

  writeEnd(reason: string, usage: Usage): void {
    const { request, requestId, host } = this.#options;
    this.#ctx.body = buildCompletion(request, {
      requestId,
      createdMs: host.clock.readWallMs(),
      text: this.#texts.join(""),
      reason,
      usage,
    });
  }

  writeError(error: ServeError): void {
    this.#reject(error);
  }
}

/** Handles `GET /v1/streams/ID?from=N`, also for a stream that another VM serves. */
export async function handleResume(
  ctx: Koa.Context,
  host: GatewayHost,
  store: GenerationStore,
  requestId: string,
  ending: RequestEnding,
): Promise<void> {
  let from = Number(ctx.query.from ?? ctx.get("last-event-id") ?? 0);
  if (!Number.isInteger(from) || from < 0) {
    throw new ServeError("badRequest", "from must be a non-negative integer");
  }
  const owningVmId = findOwningVm(ctx, requestId);
  const read = (index: number): Promise<StreamSlice> =>
    owningVmId === host.vmId || owningVmId === undefined
      ? store.readNext(requestId, index, RESUME_WAIT_MS)
      : host.readRemoteStream(owningVmId, requestId, index);
  let slice = await read(from);
  if (slice.state === "unknown") {
    throw new ServeError(
      "streamGone",
      `no stream is stored under ${requestId}`,
    );
  }
  if (ending.hasEnded) return;
  startEventStream(ctx);
  const endStream = (kind: ErrorKind): void => {
    const message = "the stream could not be read to its end";
    const error = new ServeError(kind, message, { run: "unknown" });
    ctx.res.end(buildSseEvent(buildErrorBody(error, requestId)));
  };
  ending.setHandler(() => endStream("shuttingDown"));
  const request: GenerationRequest = {
    kind: slice.requestKind ?? "chat",
    model: slice.model,
    prompt: "",
    maxTokens: undefined,
    stream: true,
    includeUsage: false,
    profile: undefined,
  };
  const chunks = new ChunkBuilder(request, requestId, host.clock.readWallMs());
  while (true) {
    writeToClient(ctx.res, chunks.buildTokenChunks(slice.texts));
    from += slice.texts.length;
    if (slice.state !== "running" || ctx.res.destroyed) break;
    slice = await read(from).catch(() => ({
      ...slice,
      texts: [],
      state: "unknown" as const,
    }));
    if (ending.hasEnded) return;
  }
  if (slice.state === "ended") {
    const usage = { promptTokens: 0, outputTokens: from, cachedTokens: 0 };
    ctx.res.end(chunks.buildFinalChunks("length", usage));
    return;
  }
  const kind = slice.state === "failed"
    ? slice.kind ?? "answerIncomplete"
    : "streamGone";
  endStream(kind);
}

function startEventStream(ctx: Koa.Context): void {
  ctx.respond = false;
  ctx.res.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-store",
    "x-request-id": ctx.response.get("x-request-id"),
  });
}

function writeToClient(res: ServerResponse, text: string): void {
  if (text === "" || res.destroyed) return;
  res.write(text);
  if (res.writableLength > MAX_UNSENT_BYTES) res.destroy();
}
