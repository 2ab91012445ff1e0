/**
 * The HTTP server for clients. It uses `node:http` directly, since a framework would rewrite the
 * headers and the framing of targets' responses.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import {
  BodyMemory,
  ConnectionLimiter,
  type ExceededLimit,
  FramingBudget,
  type HeldBody,
} from "heatherarch-client-limits";
import {
  buildErrorBody,
  type Clock,
  listenOnce,
  retryListen,
  ServeError,
} from "heatherarch-core";
import {
  ConnectionDrainer,
  type LateRefusal,
  type Shutdown,
} from "heatherarch-shutdown";
import { ClientConnection } from "../calls/client_connection.ts";
import {
  type ClientResponse,
  formatRetryAfter,
  HttpClientResponse,
} from "../calls/client_response.ts";
import type { CallServer } from "../calls/call_server.ts";
import type { EventLog } from "../event_log.ts";
import type { ForwardMetrics } from "../metrics.ts";
import { reportInternalError, runReported } from "../report_error.ts";
import type { ClientLimits, ForwardedCall } from "../model.ts";
import type { CallCodec } from "../ports.ts";
import { SHUTDOWN_RETRY_AFTER_MS } from "../scheduling/retry_after.ts";
import { ClientReads } from "./client_reads.ts";
import { RequestAdmission } from "./request_admission.ts";
import { readRequestBody } from "./request_body.ts";

/** Options of {@linkcode Ingress}. */
export interface IngressOptions {
  readonly host: string;
  readonly port: number;
  readonly codec: CallCodec;
  readonly server: Pick<CallServer, "serve" | "findTimeoutAtMs">;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Pick<ForwardMetrics, "internalErrors" | "limitsExceeded">;
  /** Bounds of what all clients together may hold. */
  readonly bounds?: ClientBounds;
  readonly shutdown: Pick<
    Shutdown,
    "isStopping" | "admitsByTimeoutAlone" | "remainingMs" | "trackCall"
  >;
}

/** Bounds of what all clients of one VM together may hold. */
export interface ClientBounds {
  readonly maxConnections: number;
  /** Requests of one connection without a complete response. */
  readonly maxRequestsAhead: number;
  /** Requests of all connections without a complete response. */
  readonly maxOpenRequests: number;
  /** Memory of the request bodies of all connections, bytes. */
  readonly maxBodyBytes: number;
}

/** The defaults of the settings. */
const DEFAULT_BOUNDS: ClientBounds = {
  maxConnections: 2000,
  maxRequestsAhead: 32,
  maxOpenRequests: 1500,
  maxBodyBytes: 64 * 1024 * 1024,
};
/** Limits in force until a configuration is applied. */
const INITIAL_LIMITS: ClientLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};
/** Largest request head that the parser accepts; the configured limit is checked separately. */
const MAX_PARSER_HEADER_BYTES = 64 * 1024;
/** Interval between checks for slow request heads, milliseconds. */
const SLOW_HEAD_CHECK_INTERVAL_MS = 500;
/** Connections that may wait to be accepted, enough that a burst of clients loses no SYN. */
const ACCEPT_BACKLOG = 1024;

/** Error code of `node:http` for a request that did not arrive in time. */
const OVERDUE_CODE = "ERR_HTTP_REQUEST_TIMEOUT";
const CLIENT_ERROR_STATUS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  [OVERDUE_CODE]: "408 Request Timeout",
};

/** Accepts calls from clients. */
export class Ingress {
  readonly #options: IngressOptions;
  readonly #http: Server;
  readonly #connections = new WeakMap<Socket, ClientConnection>();
  readonly #admission = new RequestAdmission();
  readonly #drainer: ConnectionDrainer;
  readonly #limiter: ConnectionLimiter;
  readonly #bodies: BodyMemory;
  readonly #framing: FramingBudget;
  readonly #reads: ClientReads;
  /** Monotonic times at which responses end at the latest, milliseconds. */
  readonly #timeoutsAtMs = new WeakMap<ServerResponse, number>();
  #limits = INITIAL_LIMITS;
  #openCalls = 0;

  constructor(options: IngressOptions) {
    this.#options = options;
    this.#http = createServer({
      maxHeaderSize: MAX_PARSER_HEADER_BYTES,
      connectionsCheckingInterval: SLOW_HEAD_CHECK_INTERVAL_MS,
      noDelay: true,
    });
    const { bounds = DEFAULT_BOUNDS } = options;
    this.#limiter = new ConnectionLimiter({
      server: this.#http,
      limits: bounds,
      onExceeded: (limit) => this.#reportExceeded(limit),
    });
    this.#bodies = new BodyMemory({ maxBytes: bounds.maxBodyBytes });
    this.#framing = new FramingBudget({
      clock: options.clock,
      onRefused: () => this.#reportExceeded("smallChunks"),
    });
    this.#reads = new ClientReads(
      this.#http,
      (bytes) =>
        options.log.write("info", "clientBytesRefused", {
          code: "noRequest",
          bytes,
        }),
    );
    this.#drainer = new ConnectionDrainer({
      server: this.#http,
      clock: options.clock,
      isStopping: () => options.shutdown.isStopping,
      isEnding: () => options.shutdown.remainingMs <= 0,
      buildRefusal: (request) => this.#refuseBehind(request),
    });
    this.#http.on("request", (request, response) => {
      runReported(
        this.#options,
        "call",
        () => this.#handleRequest(request, response),
      );
    });
    this.#http.on("clientError", (error, socket) => {
      runReported(
        this.#options,
        "call",
        () =>
          this.#handleClientError(
            error as NodeJS.ErrnoException,
            socket as Socket,
          ),
      );
    });
    this.applyLimits(INITIAL_LIMITS);
  }

  /** Number of calls whose response is not finished. */
  get openCalls(): number {
    return this.#openCalls;
  }

  async start(): Promise<void> {
    await retryListen(() => this.#listen(), {
      onRetry: (reason) =>
        this.#options.log.write("warn", "listenRetried", { reason }),
    });
  }

  /** Applies the limits of a configuration. */
  applyLimits(limits: ClientLimits): void {
    this.#limits = limits;
    this.#http.headersTimeout = limits.headerTimeoutMs;
    this.#http.keepAliveTimeout = limits.idleTimeoutMs;
    this.#http.requestTimeout = limits.headerTimeoutMs + limits.idleTimeoutMs;
  }

  /** Number of open connections. */
  get openConnections(): number {
    return this.#drainer.openConnections;
  }

  /** Whether all that was written to clients has been handed to the operating system. */
  get isWritten(): boolean {
    return this.#drainer.isWritten;
  }

  /** Stops accepting connections; those that clients have opened continue. */
  async closeListener(): Promise<void> {
    await this.#drainer.closeListener();
  }

  /** Closes the connections that have had no request for a moment. */
  closeIdle(): void {
    this.#drainer.closeIdle();
  }

  /** Closes all connections immediately. */
  closeAll(): void {
    this.#http.closeAllConnections();
  }

  async #listen(): Promise<void> {
    const { host, port } = this.#options;
    await listenOnce(this.#http, { host, port, backlog: ACCEPT_BACKLOG });
  }

  async #handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    // A request that is destroyed has no socket any more.
    const { socket } = request;
    const decision = this.#limiter.admit(request, response);
    if (decision === "closed") return;
    this.#admission.recordHead(socket, request);
    if (this.#admission.isRefused(socket)) return;
    if (!this.#drainer.admit(request, response)) return;
    const connection = this.#findConnection(socket);
    this.#openCalls++;
    registerResponseEnd(response, connection, () => this.#openCalls--);
    const arrivedAtMs = this.#options.clock.readMonotonicMs();
    const clientResponse = new HttpClientResponse(response, connection);
    let held: HeldBody | undefined;
    try {
      if (decision === "overloaded") throw buildOverloadError("open requests");
      const head = this.#readHead(request, arrivedAtMs);
      this.#recordTimeout(request, response, head);
      const { promise: evicted, reject: evict } = createRejection();
      held = this.#bodies.open(() => {
        this.#reportExceeded("bodyMemory");
        evict(buildOverloadError("memory of request bodies"));
      });
      const body = await this.#readBody(request, held, evicted);
      if (body === undefined) return;
      await this.#awaitOrder(request, connection);
      if (this.#admission.isRefused(socket)) return;
      const endCall = this.#admission.beginCall(socket);
      registerResponseEnd(response, connection, endCall);
      await this.#options.server.serve({ ...head, body }, clientResponse);
    } catch (error) {
      // The unread rest of the request can't be distinguished from a next request.
      if (!request.complete) this.#drainer.closeAfter(request, response);
      this.#rejectRequest(request, clientResponse, this.#convertError(error));
    } finally {
      held?.release();
    }
  }

  #reportExceeded(limit: ExceededLimit | "bodyMemory" | "smallChunks"): void {
    this.#options.metrics.limitsExceeded.inc({ limit });
    this.#options.log.write("warn", "clientLimitExceeded", { limit });
  }

  /** Records when a response ends at the latest, which is not before the one ahead of it. */
  #recordTimeout(
    request: IncomingMessage,
    response: ServerResponse,
    head: Omit<ForwardedCall, "body">,
  ): void {
    const before = this.#drainer.findBefore(request);
    const beforeAtMs = before === undefined
      ? 0
      : this.#timeoutsAtMs.get(before) ?? Infinity;
    const timeoutAtMs = this.#options.server.findTimeoutAtMs(head);
    this.#timeoutsAtMs.set(response, Math.max(timeoutAtMs, beforeAtMs));
  }

  /**
   * Waits for the response before a request's own if that one may be cut as the VM ends, and this one's with
   * it. Late requests are refused instead.
   */
  async #awaitOrder(
    request: IncomingMessage,
    connection: ClientConnection,
  ): Promise<void> {
    const { shutdown, clock } = this.#options;
    const before = this.#drainer.findBefore(request);
    if (before === undefined || !shutdown.isStopping) return;
    if (shutdown.admitsByTimeoutAlone) throw buildShutdownError();
    const timeoutAtMs = this.#timeoutsAtMs.get(before) ?? Infinity;
    const timeoutMs = timeoutAtMs - clock.readMonotonicMs();
    if (timeoutMs <= shutdown.remainingMs) return;
    await this.#refuseAtEnd(
      new Promise((resolve) =>
        registerResponseEnd(before, connection, () => resolve(undefined))
      ),
    );
  }

  /** Waits with a request that has not been sent, and refuses it when the VM ends. */
  async #refuseAtEnd<T>(...waits: Promise<T>[]): Promise<T> {
    let endCall = (): void => undefined;
    const ending = new Promise<never>((_, reject) => {
      endCall = this.#options.shutdown.trackCall({
        endForShutdown: () => reject(buildShutdownError()),
      });
    });
    try {
      return await Promise.race([...waits, ending]);
    } finally {
      endCall();
    }
  }

  /** Reads the complete body. A request that has not arrived when the VM ends is refused. */
  async #readBody(
    request: IncomingMessage,
    held: HeldBody,
    evicted: Promise<never>,
  ): Promise<Buffer | undefined> {
    const reads = this.#reads.watchBody(request);
    const maxBytes = this.#limits.maxBodyBytes;
    try {
      const body = readRequestBody({
        request,
        held,
        maxBytes,
        framing: this.#framing,
        reads,
      });
      const exceeded = reads === undefined ? [] : [reads.exceeded];
      return await this.#refuseAtEnd(body, evicted, ...exceeded);
    } finally {
      reads?.stop();
    }
  }

  /** Refuses a request that follows the last response of its connection. */
  #refuseBehind(request: IncomingMessage): LateRefusal {
    const error = buildShutdownError();
    runReported(
      this.#options,
      "call",
      () =>
        this.#options.log.write("warn", "callRejected", {
          kind: error.kind,
          reason: "the response before it is the last one of its connection",
          path: request.url,
        }),
    );
    return {
      status: error.status,
      retryAfter: formatRetryAfter(error.retryAfterMs),
      body: JSON.stringify(buildErrorBody(error, "")),
    };
  }

  /** Converts an error that came up before the call was served: no target has run the call. */
  #convertError(error: unknown): ServeError {
    if (error instanceof ServeError) return error;
    reportInternalError(this.#options, "call", error);
    return new ServeError(
      "overloaded",
      "an internal error ended the call before it was sent",
    );
  }

  #findConnection(socket: Socket): ClientConnection {
    let connection = this.#connections.get(socket);
    if (connection === undefined) {
      connection = new ClientConnection(socket);
      this.#connections.set(socket, connection);
    }
    return connection;
  }

  #readHead(
    request: IncomingMessage,
    arrivedAtMs: number,
  ): Omit<ForwardedCall, "body"> {
    const { rawHeaders } = request;
    const size = rawHeaders.reduce((sum, part) => sum + part.length + 2, 0);
    if (size > this.#limits.maxHeaderBytes) {
      throw new ServeError("headersTooLarge", `head of ${size} bytes`);
    }
    return this.#options.codec.decodeCall({
      method: request.method ?? "GET",
      url: request.url ?? "/",
      headers: request.headers,
      rawHeaders,
      arrivedAtMs,
    });
  }

  #rejectRequest(
    request: IncomingMessage,
    clientResponse: ClientResponse,
    error: ServeError,
  ): void {
    clientResponse.fail(error, "");
    this.#options.log.write("warn", "callRejected", {
      kind: error.kind,
      reason: error.message,
      path: request.url,
    });
  }

  /** Responds to invalid requests and to those that arrived too slowly. */
  async #handleClientError(
    error: NodeJS.ErrnoException,
    socket: Socket,
  ): Promise<void> {
    const isOverdue = error.code === OVERDUE_CODE;
    if (isOverdue && await this.#admission.readArrived(socket)) return;
    this.#admission.refuse(socket);
    const status = CLIENT_ERROR_STATUS[error.code ?? ""] ?? "400 Bad Request";
    // A request that is being served gets its response, after which the connection closes. The status
    // would be taken for that response.
    if (socket.writable && this.#admission.isServing(socket)) return;
    if (socket.writable && socket.bytesWritten === 0) {
      socket.end(
        `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
      );
    } else socket.destroy();
    if (error.code === "ECONNRESET") return;
    this.#options.log.write("info", "clientBytesRefused", {
      code: error.code,
      status,
    });
  }
}

function buildShutdownError(): ServeError {
  return new ServeError("shuttingDown", "the VM is shutting down", {
    retryAfterMs: SHUTDOWN_RETRY_AFTER_MS,
  });
}

function buildOverloadError(what: string): ServeError {
  return new ServeError("overloaded", `too much ${what} at this VM`);
}

/** Creates a promise that can only be rejected. */
function createRejection(): {
  readonly promise: Promise<never>;
  readonly reject: (error: ServeError) => void;
} {
  let reject = (_: ServeError): void => undefined;
  const promise = new Promise<never>((_, rejectPromise) => {
    reject = rejectPromise;
  });
  return { promise, reject };
}

/** Calls `listener` once, when a response has ended or its connection has. */
function registerResponseEnd(
  response: ServerResponse,
  connection: ClientConnection,
  listener: () => void,
): void {
  let hasEnded = false;
  const end = (): void => {
    if (hasEnded) return;
    hasEnded = true;
    removeListener();
    listener();
  };
  // Node.js tells nothing of the responses behind the first one of a connection that ends.
  const removeListener = connection.registerEndListener(end);
  response.once("close", end);
}
