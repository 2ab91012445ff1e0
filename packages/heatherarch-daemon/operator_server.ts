/**
 * HTTP interface for operators: health, metrics, status, publications and the audit trail.
 *
 * @module
 */
import { createHash, timingSafeEqual } from "node:crypto";
import { createServer, type Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import Koa from "koa";
import { BodyMemory, ConnectionLimiter } from "heatherarch-client-limits";
import {
  buildErrorBody,
  createId,
  listenOnce,
  retryListen,
  ServeError,
  toServeError,
} from "heatherarch-core";
import { parseJsonBody, readRequestBody } from "heatherarch-gateway";
import {
  type ConfigChange,
  type ConfigState,
  parseConfigRecord,
} from "heatherarch-log";
import {
  buildIssues,
  formatIssues,
  type ProcessSettings,
} from "heatherarch-settings";
import { z } from "zod";

/** Functions of the process that the operator server uses. */
export interface OperatorHost {
  readonly settings: ProcessSettings;
  readonly readConfig: () => ConfigState;
  readonly readStatus: () => unknown;
  readonly readMetrics: () => Promise<string>;
  /** Returns why the load balancer should send no requests here; undefined if it should. */
  readonly readUnreadyReason: () => string | undefined;
  /** Publishes a change. Resolves with the fold's verdict. */
  readonly publish: (request: PublishRequest) => Promise<PublishResult>;
  /** Marks a target as leaving on this VM and its peers, without the log. */
  readonly markLeaving: (target: string) => void;
}

/** Request to publish a configuration change. */
export interface PublishRequest {
  /** Idempotency id: a repeated id has no further effect. */
  readonly id: string;
  readonly author: string;
  readonly baseRevision: number;
  readonly change: ConfigChange;
}

/** Result of a publication. */
export interface PublishResult {
  readonly verdict: "accepted" | "rejected";
  readonly offset: number;
  readonly reason?: string;
}

const PUBLISH_BODY = z.strictObject({
  id: z.string().min(1).max(100).optional(),
  baseRevision: z.int(),
  change: z.unknown(),
});
const BODY_LIMITS = { maxBodyBytes: 8 * 1024 * 1024, bodyTimeoutMs: 10_000 };
/** The buffer of a body takes four times its bytes at most, and operators publish one change at a time. */
const MAX_BODY_MEMORY_BYTES = 4 * BODY_LIMITS.maxBodyBytes;
/** Operators, the load balancer and the collectors of metrics use few connections, one request at a time. */
const CONNECTION_LIMITS = { maxConnections: 256, maxRequestsAhead: 8 };
const LEAVING_DIRECTIVES = ["drain", "replace", "withdraw"];

/** Serves operators, the load balancer and the metrics collector. */
export class OperatorServer {
  readonly #host: OperatorHost;
  readonly #server: Server;
  readonly #bodies = new BodyMemory({ maxBytes: MAX_BODY_MEMORY_BYTES });

  constructor(
    host: OperatorHost,
    options: { tls?: { cert: string; key: string } } = {},
  ) {
    this.#host = host;
    const app = new Koa();
    app.silent = true;
    app.use((ctx) => this.#handle(ctx));
    this.#server = options.tls === undefined
      ? createServer()
      : createTlsServer(options.tls);
    const limiter = new ConnectionLimiter({
      server: this.#server,
      limits: CONNECTION_LIMITS,
    });
    const handle = app.callback();
    this.#server.on("request", (request, response) => {
      if (limiter.admit(request, response) === "closed") return;
      void handle(request, response);
    });
  }

  async listen(host: string, port: number): Promise<void> {
    await retryListen(() => listenOnce(this.#server, { host, port }));
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(ctx: Koa.Context): Promise<void> {
    const requestId = createId("op");
    try {
      await this.#route(ctx);
    } catch (thrown) {
      const error = toServeError(thrown);
      ctx.status = error.status;
      ctx.body = buildErrorBody(error, requestId);
      // The rest of a body that is not read any more may never end.
      if (!ctx.req.complete) ctx.set("connection", "close");
    }
  }

  async #route(ctx: Koa.Context): Promise<void> {
    switch (ctx.path) {
      case "/healthz":
        ctx.body = { status: "ok" };
        return;
      case "/readyz": {
        const unreadyReason = this.#host.readUnreadyReason();
        ctx.status = unreadyReason === undefined ? 200 : 503;
        ctx.body = {
          ready: unreadyReason === undefined,
          ...(unreadyReason ? { reason: unreadyReason } : {}),
        };
        return;
      }
      case "/metrics":
        ctx.type = "text/plain; version=0.0.4";
        ctx.body = await this.#host.readMetrics();
        return;
    }
    const operator = this.#authenticate(ctx);
    switch (ctx.path) {
      case "/v1/status":
        ctx.body = this.#host.readStatus();
        return;
      case "/v1/config":
        ctx.body = this.#readConfig();
        return;
      case "/v1/audit":
        ctx.body = { entries: this.#host.readConfig().audit };
        return;
      case "/v1/changes":
        if (ctx.method !== "POST") {
          throw new ServeError("methodNotAllowed", "takes POST");
        }
        ctx.body = await this.#publish(ctx, operator);
        return;
    }
    throw new ServeError("notFound", `there is nothing at ${ctx.path}`);
  }

  #readConfig(): unknown {
    const { offset, fleetRevision, fleet, profiles, directives } = this.#host
      .readConfig();
    return { offset, fleetRevision, fleet, profiles, directives };
  }

  /** Returns the operator's name. Without configured operators, the client states its own name. */
  #authenticate(ctx: Koa.Context): string {
    const { operators } = this.#host.settings;
    if (operators.length === 0) return ctx.get("x-operator") || "local";
    const token = /^Bearer (.+)$/i.exec(ctx.get("authorization"))?.[1] ?? "";
    const digest = createHash("sha256").update(token).digest();
    const operator = operators.find(({ tokenSha256 }) =>
      timingSafeEqual(Buffer.from(tokenSha256, "hex"), digest)
    );
    if (operator === undefined) {
      throw new ServeError(
        "unauthenticated",
        "an operator's bearer token is needed",
      );
    }
    return operator.name;
  }

  async #readJson(ctx: Koa.Context): Promise<unknown> {
    const body = await readRequestBody(ctx, BODY_LIMITS, this.#bodies);
    const parsed = parseJsonBody(body);
    if (parsed.ok) return parsed.val;
    throw parsed.val;
  }

  async #publish(ctx: Koa.Context, author: string): Promise<unknown> {
    const body = PUBLISH_BODY.safeParse(await this.#readJson(ctx));
    if (!body.success) {
      throw new ServeError("badRequest", formatIssues(buildIssues(body.error)));
    }
    const { baseRevision, id = createId("pub") } = body.data;
    const change = parseChange(body.data.change);
    try {
      const result = await this.#host.publish({
        id,
        author,
        baseRevision,
        change,
      });
      if (result.verdict === "rejected") {
        throw new ServeError("conflict", result.reason ?? "");
      }
      return { id, ...result };
    } catch (thrown) {
      const error = toServeError(thrown);
      const isLeaving = change.kind === "directTarget" &&
        LEAVING_DIRECTIVES.includes(change.directive);
      if (error.kind !== "platformUnavailable" || !isLeaving) throw error;
      // A drain also works during a platform outage: the leaving mark spreads from VM to VM.
      this.#host.markLeaving(change.target);
      return { id, verdict: "spreading", offset: -1, reason: error.message };
    }
  }
}

function parseChange(change: unknown): ConfigChange {
  const record = parseConfigRecord({
    type: "change",
    format: 1,
    id: "check",
    author: "",
    atMs: 0,
    baseRevision: 0,
    change,
  });
  if (record?.type !== "change") {
    throw new ServeError("badRequest", "change: unknown kind or shape");
  }
  return record.change;
}
