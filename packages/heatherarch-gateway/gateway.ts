/**
 * HTTP server for clients.
 *
 * @module
 */
import { createHash } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { Socket } from "node:net";
import Koa from "koa";
import {
  buildErrorBody,
  createId,
  estimateTokens,
  listenOnce,
  ReadBarrier,
  retryListen,
  ServeError,
  sleep,
  toServeError,
} from "heatherarch-core";
import { parseClaimKey } from "heatherarch-claims";
import { BodyMemory, ConnectionLimiter } from "heatherarch-client-limits";
import { AccountLimits } from "heatherarch-policy";
import {
  type Account,
  computeBodyMemoryBytes,
  DEFAULT_PROFILE,
  type Fleet,
  type ModelService,
  type PlainService,
  type Profile,
} from "heatherarch-settings";
import {
  ConnectionDrainer,
  type LateRefusal,
  type ShutdownOutcome,
} from "heatherarch-shutdown";
import { AccountDirectory } from "./account_directory.ts";
import { handleClientError } from "./client_error.ts";
import type { GatewayHost } from "./gateway_host.ts";
import { GenerationStore } from "./generation_store.ts";
import { parseChatRequest, parseTextRequest } from "./openai_format.ts";
import { callPlainService } from "./plain_call.ts";
import { parseJsonBody, readRequestBody } from "./request_body.ts";
import {
  computeMaxTokens,
  copyRequestHeaders,
  findModelService,
  findOwningVm,
  formatRoute,
  isResumable,
  readRequestIdentity,
  requireMethod,
  unwrap,
} from "./request_params.ts";
import { buildShutdownRefusal, RequestEnding } from "./request_ending.ts";
import type { AdmittedRequest } from "./request_watch.ts";
import { registerResponseEnd } from "./response_end.ts";
import { handleGeneration, handleResume } from "./generation_response.ts";

/** Certificate and private key of the client port, in PEM. */
export interface GatewayTls {
  readonly cert: string;
  readonly key: string;
}

const RESUME_PATH = /^\/v1\/streams\/([A-Za-z0-9._-]+)$/;
const SERVICE_PATH = /^\/services\/([a-z0-9._-]+)(\/.*)?$/;
const REQUEST_ID = /^[A-Za-z0-9._-]{1,128}$/;
const HTTP_SERVER_ERROR = 500;
const HTTP_UNAVAILABLE = 503;
/** The same as the defaults of a VM that forwards calls. */
const CONNECTION_LIMITS = { maxConnections: 2000, maxRequestsAhead: 32 };
/** Interval at which a stopping VM checks for open connections, milliseconds. */
const DRAIN_POLL_MS = 50;
/** Time for the last responses to be handed to the operating system, milliseconds. */
const MAX_WRITE_MS = 100;
const WRITE_POLL_MS = 5;

/** Serves the requests of clients. */
export class Gateway {
  readonly #host: GatewayHost;
  readonly #limits: AccountLimits;
  readonly #accounts = new AccountDirectory();
  readonly #store = new GenerationStore();
  readonly #readBarrier = new ReadBarrier();
  readonly #server: Server;
  readonly #drainer: ConnectionDrainer;
  readonly #bodies: BodyMemory;
  /** Requests beyond the bound of open ones, which are rejected. */
  readonly #overloaded = new WeakSet<IncomingMessage>();
  #inFlight = 0;

  constructor(host: GatewayHost, options: { tls?: GatewayTls } = {}) {
    this.#host = host;
    this.#limits = new AccountLimits({ maxInFlight: host.limits.maxInFlight });
    this.#bodies = new BodyMemory({
      maxBytes: computeBodyMemoryBytes(host.limits),
    });
    const app = new Koa();
    app.silent = true;
    app.use((ctx) => this.#handleRequest(ctx));
    const serverOptions = {
      maxHeaderSize: host.limits.maxHeaderBytes,
      headersTimeout: host.limits.headerTimeoutMs,
      requestTimeout: 0,
      keepAliveTimeout: 30_000,
      connectionsCheckingInterval: 1000,
    };
    this.#server = options.tls === undefined
      ? createServer(serverOptions)
      : createTlsServer({ ...serverOptions, ...options.tls });
    this.#drainer = new ConnectionDrainer({
      server: this.#server,
      clock: host.clock,
      isStopping: () => host.shutdown.isStopping,
      isEnding: () => host.shutdown.phase === "ending",
      buildRefusal: () => this.#refuseBehind(),
    });
    const limiter = new ConnectionLimiter({
      server: this.#server,
      limits: {
        ...CONNECTION_LIMITS,
        maxOpenRequests: host.limits.maxInFlight,
      },
    });
    const handle = app.callback();
    this.#server.on("request", (request, response) => {
      const decision = limiter.admit(request, response);
      if (decision === "closed") return;
      if (!this.#drainer.admit(request, response)) return;
      if (decision === "overloaded") this.#overloaded.add(request);
      void handle(request, response);
    });
    this.#server.on(
      "clientError",
      (error, socket) => handleClientError(error, socket as Socket),
    );
  }

  /** Generations that clients may resume. Other VMs read them through this VM. */
  get store(): GenerationStore {
    return this.#store;
  }

  /** Number of requests in progress. */
  get inFlight(): number {
    return this.#inFlight;
  }

  async listen(host: string, port: number): Promise<void> {
    await retryListen(() => listenOnce(this.#server, { host, port }));
  }

  /** Accepts no new connections. Resolves when nothing is open or runs any more, or when the VM ends. */
  async drain(): Promise<void> {
    const { shutdown } = this.#host;
    const ending = shutdown.awaitPhase("ending");
    await this.#drainer.closeListener();
    while (shutdown.phase === "draining" && this.#hasOpenWork) {
      this.#drainer.closeIdle();
      await Promise.race([sleep(DRAIN_POLL_MS), ending]);
    }
  }

  /** Waits until the last responses are written, for a short time at most. */
  async awaitWritten(): Promise<void> {
    const { clock } = this.#host;
    const untilMs = clock.readMonotonicMs() + MAX_WRITE_MS;
    do await sleep(WRITE_POLL_MS); while (
      !this.#drainer.isWritten && clock.readMonotonicMs() < untilMs
    );
  }

  /** Closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Drops the state of idle client accounts. */
  removeIdleAccounts(): void {
    this.#limits.removeIdleAccounts(this.#host.clock.readMonotonicMs());
  }

  /** A resumable generation goes on without its client, which may read it through another VM. */
  get #hasOpenWork(): boolean {
    const { openConnections } = this.#drainer;
    return this.#inFlight + openConnections + this.#store.running > 0;
  }

  async #handleRequest(ctx: Koa.Context): Promise<void> {
    const clientRequestId = ctx.get("x-request-id");
    // The id of a resumable stream names the VM that serves it, so this VM generates it.
    const usesClientId = REQUEST_ID.test(clientRequestId) && !isResumable(ctx);
    const requestId = usesClientId
      ? clientRequestId
      : createId(this.#host.vmId);
    ctx.set("x-request-id", requestId);
    this.#inFlight++;
    const ending = this.#trackRequest(ctx);
    try {
      // The disconnect of a client may have arrived together with its request.
      await this.#readBarrier.awaitTurn();
      if (hasClientLeft(ctx)) return;
      const route = this.#route(ctx, requestId, ending);
      await Promise.race([route, ending.ended]);
    } catch (thrown) {
      this.#sendError(ctx, toServeError(thrown), requestId);
    }
  }

  #trackRequest(ctx: Koa.Context): RequestEnding {
    const { shutdown } = this.#host;
    const ending = new RequestEnding();
    const untrack = shutdown.trackCall(ending);
    registerResponseEnd(ctx, () => {
      this.#inFlight--;
      untrack();
      const outcome = classifyOutcome(ctx.res, ending);
      shutdown.recordEnd(classifyPath(ctx.path), outcome);
    });
    return ending;
  }

  /** Throws {@linkcode ServeError} if a request can't end before the VM does. */
  #requireTime(route: string, deadlineAtMs: number): void {
    const { shutdown, clock } = this.#host;
    const timeoutMs = deadlineAtMs - clock.readMonotonicMs();
    if (!shutdown.admits({ route, timeoutMs })) throw buildShutdownRefusal();
  }

  /** Refuses a request that follows the last response of its connection. */
  #refuseBehind(): LateRefusal {
    const error = this.#host.readRefusal() ?? buildShutdownRefusal();
    return {
      status: error.status,
      retryAfter: formatRetryAfter(error),
      body: JSON.stringify(buildErrorBody(error, createId(this.#host.vmId))),
    };
  }

  #sendError(ctx: Koa.Context, error: ServeError, requestId: string): void {
    if (ctx.res.headersSent) return;
    if (error.retryAfterMs > 0) ctx.set("retry-after", formatRetryAfter(error));
    // The rest of a rejected body is not read, so the connection can't be reused.
    if (!ctx.req.complete) this.#drainer.closeAfter(ctx.req, ctx.res);
    ctx.status = error.status;
    ctx.body = buildErrorBody(error, requestId);
  }

  async #route(
    ctx: Koa.Context,
    requestId: string,
    ending: RequestEnding,
  ): Promise<void> {
    if (this.#overloaded.has(ctx.req)) {
      throw new ServeError("overloaded", "too many open requests at this VM");
    }
    const refusal = this.#host.readRefusal();
    if (refusal !== undefined) {
      this.#drainer.closeAfter(ctx.req, ctx.res);
      throw refusal;
    }
    const fleet = this.#host.readFleet();
    if (fleet === null) {
      throw new ServeError(
        "notReady",
        "no fleet configuration has been received yet",
      );
    }
    const { path } = ctx;
    if (path === "/v1/models") return this.#listModels(ctx, fleet);
    if (path === "/v1/chat/completions" || path === "/v1/completions") {
      requireMethod(ctx, "POST");
      return await this.#generate(ctx, fleet, requestId, ending);
    }
    const streamId = RESUME_PATH.exec(path)?.[1];
    if (streamId !== undefined) {
      requireMethod(ctx, "GET");
      return await this.#resume(ctx, streamId, ending);
    }
    const service = SERVICE_PATH.exec(path);
    if (service !== null) {
      return await this.#callService(ctx, fleet, requestId, {
        name: service[1],
        path: `${service[2] ?? "/"}${ctx.search}`,
        ending,
      });
    }
    throw new ServeError("notFound", `no resource exists at ${path}`);
  }

  async #resume(
    ctx: Koa.Context,
    streamId: string,
    ending: RequestEnding,
  ): Promise<void> {
    const { shutdown, vmId } = this.#host;
    // Any other VM can read a stream that is not this one's.
    const isOwn = findOwningVm(ctx, streamId) === vmId;
    if (shutdown.isStopping && !isOwn) throw buildShutdownRefusal();
    await handleResume(ctx, this.#host, this.#store, streamId, ending);
  }

  #listModels(ctx: Koa.Context, fleet: Fleet): void {
    requireMethod(ctx, "GET");
    const services = fleet.services.filter((entry): entry is ModelService =>
      entry.kind === "model"
    );
    const data = services.flatMap((service) =>
      service.models.map((id) => ({
        id,
        object: "model",
        created: 0,
        owned_by: service.name,
      }))
    );
    ctx.body = { object: "list", data };
  }

  async #generate(
    ctx: Koa.Context,
    fleet: Fleet,
    requestId: string,
    ending: RequestEnding,
  ): Promise<void> {
    const startedAtMs = this.#host.clock.readMonotonicMs();
    const account = this.#accounts.find(readRequestIdentity(ctx), fleet);
    const body = await this.#readBody(ctx);
    const json = unwrap(parseJsonBody(body));
    const parse = ctx.path === "/v1/completions"
      ? parseTextRequest
      : parseChatRequest;
    const request = unwrap(parse(json));
    const profile = this.#findProfile(
      ctx.get("x-heatherarch-profile") || request.profile,
    );
    const service = findModelService(fleet, request.model);
    const promptTokens = estimateTokens(request.prompt);
    const maxTokens = computeMaxTokens(request, promptTokens, profile);
    const deadlineAtMs = startedAtMs + this.#readDeadlineMs(ctx, profile);
    this.#requireTime(formatRoute(service.name, profile), deadlineAtMs);
    this.#host.demand.recordRequest(promptTokens, maxTokens, startedAtMs);
    const release = this.#acquireSlot(account, startedAtMs);
    const admitted = this.#admit(ctx, account, body, requestId, release);
    await handleGeneration(ctx, {
      host: this.#host,
      store: this.#store,
      request,
      requestId,
      service: service.name,
      profile,
      promptTokens,
      maxTokens,
      deadlineAtMs,
      resumable: isResumable(ctx),
      admitted,
      ending,
      release,
    });
  }

  async #callService(
    ctx: Koa.Context,
    fleet: Fleet,
    requestId: string,
    call: { name: string; path: string; ending: RequestEnding },
  ): Promise<void> {
    const startedAtMs = this.#host.clock.readMonotonicMs();
    const account = this.#accounts.find(readRequestIdentity(ctx), fleet);
    const service = fleet.services.find((entry): entry is PlainService =>
      entry.kind === "plain" && entry.name === call.name
    );
    if (service === undefined) {
      throw new ServeError(
        "notFound",
        `no plain service is named ${call.name}`,
      );
    }
    const profile = this.#findProfile(
      ctx.get("x-heatherarch-profile") || undefined,
    );
    const deadlineAtMs = startedAtMs + this.#readDeadlineMs(ctx, profile);
    const body = await this.#readBody(ctx);
    const route = formatRoute(service.name, profile);
    this.#requireTime(route, deadlineAtMs);
    const key = this.#readIdempotencyKey(ctx, account, service, {
      path: call.path,
      body,
    });
    const release = this.#acquireSlot(account, startedAtMs);
    const admitted = this.#admit(ctx, account, body, requestId, release);
    let outcome: "ok" | ServeError = "ok";
    try {
      const response = await callPlainService(this.#host, {
        service,
        profile,
        method: ctx.method,
        path: call.path,
        headers: { ...copyRequestHeaders(ctx.req), "x-request-id": requestId },
        body: body.length > 0 ? body : undefined,
        deadlineAtMs,
        key,
        admitted,
        attemptWatch: call.ending,
      });
      for (const [name, value] of Object.entries(response.headers)) {
        ctx.set(name, value);
      }
      if (response.replayed) ctx.set("x-heatherarch-replayed", "true");
      ctx.status = response.status;
      ctx.body = response.body;
    } catch (thrown) {
      outcome = toServeError(thrown);
      throw outcome;
    } finally {
      admitted.end(outcome === "ok");
      release();
      const nowMs = this.#host.clock.readMonotonicMs();
      if (outcome === "ok") {
        this.#host.shutdown.recordServed(route, nowMs - startedAtMs);
      }
      this.#host.events.recordResult({
        service: service.name,
        profile: profile.name,
        outcome: outcome === "ok" ? "ok" : outcome.kind,
        isWithinDeadline: outcome === "ok" && nowMs <= deadlineAtMs,
        durationMs: nowMs - startedAtMs,
      });
    }
  }

  /** Checks the quarantine. Releases the account's slot if the request may not be sent. */
  #admit(
    ctx: Koa.Context,
    account: Account,
    body: Buffer,
    requestId: string,
    release: () => void,
  ): AdmittedRequest {
    const { method, url } = ctx;
    const content = { method, host: account.name, path: url, body };
    try {
      return this.#host.requestWatch.admit(content, requestId);
    } catch (thrown) {
      release();
      throw thrown;
    }
  }

  #readIdempotencyKey(
    ctx: Koa.Context,
    account: Account,
    service: PlainService,
    call: { path: string; body: Buffer },
  ) {
    const header = ctx.get("idempotency-key");
    if (header === "" || service.idempotentMethods.includes(ctx.method)) {
      return undefined;
    }
    const key = unwrap(
      parseClaimKey(header, { account: account.name, service: service.name }),
    );
    const fingerprint = createHash("sha256")
      .update(`${ctx.method} ${call.path}\n`)
      .update(call.body)
      .digest("base64url");
    return { ...key, fingerprint };
  }

  #readBody(ctx: Koa.Context): Promise<Buffer> {
    return readRequestBody(ctx, this.#host.limits, this.#bodies);
  }

  #acquireSlot(account: Account, nowMs: number): () => void {
    const acquired = this.#limits.acquire(
      account,
      this.#host.countVms(),
      nowMs,
    );
    const release = unwrap(acquired);
    this.#host.retries.recordRequest();
    return release;
  }

  #findProfile(name: string | undefined): Profile {
    if (name === undefined) {
      return this.#host.findProfile("default") ?? DEFAULT_PROFILE;
    }
    const profile = this.#host.findProfile(name);
    if (profile === undefined) {
      throw new ServeError("unknownProfile", `no profile is named ${name}`);
    }
    return profile;
  }

  #readDeadlineMs(ctx: Koa.Context, profile: Profile): number {
    const header = ctx.get("x-deadline-ms");
    if (header === "") return profile.deadlineMs;
    const value = Number(header);
    const { maxDeadlineMs } = this.#host.limits;
    if (!Number.isInteger(value) || value < 1 || value > maxDeadlineMs) {
      const message =
        `x-deadline-ms must be an integer from 1 to ${maxDeadlineMs}`;
      throw new ServeError("badRequest", message);
    }
    return value;
  }
}

function formatRetryAfter({ retryAfterMs }: ServeError): string {
  return String(Math.ceil(retryAfterMs / 1000));
}

function classifyPath(path: string): string {
  if (RESUME_PATH.test(path)) return "resume";
  return SERVICE_PATH.test(path) ? "service" : "generation";
}

/** Classifies how a request ended that a shutdown may have ended. */
function classifyOutcome(
  response: ServerResponse,
  { hasEnded }: RequestEnding,
): ShutdownOutcome {
  const { writableFinished, statusCode } = response;
  if (!writableFinished) return hasEnded ? "cut" : "other";
  if (statusCode === HTTP_UNAVAILABLE) return "refused";
  if (hasEnded) return "ended";
  return statusCode < HTTP_SERVER_ERROR ? "completed" : "other";
}

/** Whether the client has ended or reset its connection. */
function hasClientLeft({ req: { socket } }: Koa.Context): boolean {
  return socket.readableEnded || socket.destroyed;
}
