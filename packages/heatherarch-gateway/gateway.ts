/**
 * HTTP server for clients.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { createServer, type Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { Socket } from "node:net";
import Koa from "koa";
import {
  buildErrorBody,
  createId,
  estimateTokens,
  ReadBarrier,
  ServeError,
  toServeError,
} from "heatherarch-core";
import { parseClaimKey } from "heatherarch-claims";
import { AccountLimits } from "heatherarch-policy";
import {
  type Account,
  DEFAULT_PROFILE,
  type Fleet,
  type ModelService,
  type PlainService,
  type Profile,
} from "heatherarch-settings";
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
  isResumable,
  readRequestIdentity,
  requireMethod,
  unwrap,
} from "./request_params.ts";
import type { AdmittedRequest } from "./request_watch.ts";
import { handleGeneration, handleResume } from "./generation_response.ts";

/** Certificate and private key of the client port, in PEM. */
export interface GatewayTls {
  readonly cert: string;
  readonly key: string;
}

const RESUME_PATH = /^\/v1\/streams\/([A-Za-z0-9._-]+)$/;
const SERVICE_PATH = /^\/services\/([a-z0-9._-]+)(\/.*)?$/;
const REQUEST_ID = /^[A-Za-z0-9._-]{1,128}$/;

/** Serves the requests of clients. */
export class Gateway {
  readonly #host: GatewayHost;
  readonly #limits: AccountLimits;
  readonly #accounts = new AccountDirectory();
  readonly #store = new GenerationStore();
  readonly #readBarrier = new ReadBarrier();
  readonly #server: Server;
  #inFlight = 0;
  #drainCallbacks = new Set<() => void>();

  constructor(host: GatewayHost, options: { tls?: GatewayTls } = {}) {
    this.#host = host;
    this.#limits = new AccountLimits({ maxInFlight: host.limits.maxInFlight });
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
      ? createServer(serverOptions, app.callback())
      : createTlsServer({ ...serverOptions, ...options.tls }, app.callback());
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
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** Accepts no new connections and waits for requests in flight. Returns false on a timeout. */
  async drain(timeoutMs: number): Promise<boolean> {
    this.#server.close();
    this.#server.closeIdleConnections();
    if (this.#inFlight === 0) return true;
    return await new Promise((resolve) => {
      const timer = setTimeout(() => resolve(false), timeoutMs);
      this.#drainCallbacks.add(() => {
        clearTimeout(timer);
        resolve(true);
      });
    });
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

  async #handleRequest(ctx: Koa.Context): Promise<void> {
    const clientRequestId = ctx.get("x-request-id");
    // The id of a resumable stream names the VM that serves it, so this VM generates it.
    const usesClientId = REQUEST_ID.test(clientRequestId) && !isResumable(ctx);
    const requestId = usesClientId
      ? clientRequestId
      : createId(this.#host.vmId);
    ctx.set("x-request-id", requestId);
    this.#inFlight++;
    ctx.res.once("close", () => this.#recordRequestEnd());
    try {
      // The disconnect of a client may have arrived together with its request.
      await this.#readBarrier.awaitTurn();
      if (hasClientLeft(ctx)) return;
      await this.#route(ctx, requestId);
    } catch (thrown) {
      this.#sendError(ctx, toServeError(thrown), requestId);
    }
  }

  #recordRequestEnd(): void {
    this.#inFlight--;
    if (this.#inFlight > 0) return;
    for (const notify of this.#drainCallbacks) notify();
    this.#drainCallbacks.clear();
  }

  #sendError(ctx: Koa.Context, error: ServeError, requestId: string): void {
    if (ctx.res.headersSent) return;
    const { retryAfterMs } = error;
    if (retryAfterMs > 0) {
      ctx.set("retry-after", String(Math.ceil(retryAfterMs / 1000)));
    }
    // The rest of a rejected body is not read, so the connection can't be reused.
    if (!ctx.req.complete) ctx.set("connection", "close");
    ctx.status = error.status;
    ctx.body = buildErrorBody(error, requestId);
  }

  async #route(ctx: Koa.Context, requestId: string): Promise<void> {
    const refusal = this.#host.readRefusal();
    if (refusal !== undefined) {
      ctx.set("connection", "close");
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
      return await this.#generate(ctx, fleet, requestId);
    }
    const streamId = RESUME_PATH.exec(path)?.[1];
    if (streamId !== undefined) {
      requireMethod(ctx, "GET");
      return await handleResume(ctx, this.#host, this.#store, streamId);
    }
    const service = SERVICE_PATH.exec(path);
    if (service !== null) {
      return await this.#callService(ctx, fleet, requestId, {
        name: service[1],
        path: `${service[2] ?? "/"}${ctx.search}`,
      });
    }
    throw new ServeError("notFound", `no resource exists at ${path}`);
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
  ): Promise<void> {
    const startedAtMs = this.#host.clock.readMonotonicMs();
    const account = this.#accounts.find(readRequestIdentity(ctx), fleet);
    const body = await readRequestBody(ctx.req, this.#host.limits);
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
      release,
    });
  }

  async #callService(
    ctx: Koa.Context,
    fleet: Fleet,
    requestId: string,
    call: { name: string; path: string },
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
    const body = await readRequestBody(ctx.req, this.#host.limits);
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

/** Whether the client has ended or reset its connection. */
function hasClientLeft({ req: { socket } }: Koa.Context): boolean {
  return socket.readableEnded || socket.destroyed;
}
