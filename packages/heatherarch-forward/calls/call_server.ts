/**
 * Routes a client's call to the handler that serves it.
 *
 * @module
 */
import { type ErrorKind, ServeError } from "heatherarch-core";
import type { AdmittedCall } from "./account_admission.ts";
import type { ClientResponse } from "./client_response.ts";
import { CallContext } from "./call_context.ts";
import { findShutdownPhase, formatAge } from "../event_log.ts";
import { GenerationHandler } from "./generation_handler.ts";
import type {
  EngineTraits,
  ForwardedCall,
  GenerationParams,
  Route,
  ServiceSpec,
} from "../model.ts";
import { PlainCallHandler } from "./plain_call_handler.ts";
import { reportInternalError, runReported } from "../report_error.ts";
import type { RouteTable } from "../state/route_table.ts";
import { SHUTDOWN_RETRY_AFTER_MS } from "../scheduling/retry_after.ts";
import type { CallDependencies } from "../call_dependencies.ts";

/** Default for a call that does not describe its prompt. */
const UNKNOWN_PROMPT: GenerationParams = {
  model: "",
  promptTokens: 0,
  maxOutputTokens: 0,
  parts: [],
};
/** Default for a service that does not describe its engines. */
const UNKNOWN_ENGINE: EngineTraits = {
  slots: 1,
  kvTokens: 0,
  kvBytesPerToken: 0,
  linkMbps: 1,
  roleChangeMs: 0,
};

/** Shortest `Retry-After` of a call that was not served in time, before jitter, milliseconds. */
const MIN_RETRY_AFTER_MS = 500;
const SHUTDOWN_REASON = "the VM shuts down before the call is expected to end";
/** Longest delay of a timer of the runtime, milliseconds. It fires at once with a longer one. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** What came first: a call's turn, its timeout, or the end of the VM. */
type Turn = "due" | "expired" | "shutdown";

/** Serves calls by the active configuration. */
export class CallServer {
  readonly #dependencies: CallDependencies;

  constructor(dependencies: CallDependencies) {
    this.#dependencies = dependencies;
  }

  /** Serves one call to its end. Never rejects. */
  async serve(call: ForwardedCall, response: ClientResponse): Promise<void> {
    const { metrics } = this.#dependencies;
    let isCounted = false;
    try {
      metrics.inFlight.inc();
      isCounted = true;
      await this.#serveInTurn(call, response);
    } catch (error) {
      this.#endUnsent(call, response, error);
    }
    if (!isCounted) return;
    runReported(this.#dependencies, "call", () => metrics.inFlight.dec());
  }

  /** Finds the monotonic time at which a call times out, milliseconds; infinite without a timeout. */
  findTimeoutAtMs(call: Omit<ForwardedCall, "body">): number {
    return call.arrivedAtMs + (this.#findTimeoutMs(call) ?? Infinity);
  }

  async #serveInTurn(
    call: ForwardedCall,
    response: ClientResponse,
  ): Promise<void> {
    const turn = await this.#awaitTurn(call);
    if (response.isDisconnected) return this.#dropCall(call);
    if (turn === "expired") return this.#rejectUnserved(call, response);
    if (turn === "shutdown") return this.#rejectForShutdown(call, response);
    const context = this.#openCall(call, response);
    if (context === undefined) return;
    try {
      await this.#handleCall(context);
    } catch (error) {
      context.endAfterError(error);
    }
    if (context.outcome !== "delivered") return;
    this.#dependencies.shutdown.recordServed(
      context.route.name,
      context.nowMs - call.arrivedAtMs,
    );
  }

  /** Ends a call after an error that came up before it was known what serves it. It was not sent. */
  #endUnsent(
    call: ForwardedCall,
    response: ClientResponse,
    thrown: unknown,
  ): void {
    reportInternalError(this.#dependencies, "call", thrown, { call: call.id });
    if (response.isHeadSent) return;
    runReported(this.#dependencies, "call", () => {
      const reason = "an internal error ended the call before it was sent";
      response.fail(new ServeError("overloaded", reason), call.id);
    });
    if (!response.isHeadSent) {
      runReported(this.#dependencies, "call", () => response.destroy());
    }
  }

  /**
   * Resolves when what has arrived with the call is read and it is the call's turn, when the timeout of
   * its client or its route expires, or when the VM ends, whichever is first.
   */
  async #awaitTurn(call: ForwardedCall): Promise<Turn> {
    const { readBarrier, shutdown } = this.#dependencies;
    const turn = readBarrier.awaitTurn().then((): Turn => "due");
    let timer: NodeJS.Timeout | undefined;
    let endCall = (): void => undefined;
    const end = new Promise<Turn>((resolve) => {
      endCall = shutdown.trackCall({
        endForShutdown: () => resolve("shutdown"),
      });
      const remainingMs = this.#findRemainingMs(call);
      if (remainingMs === undefined) return;
      const delayMs = Math.min(Math.max(0, remainingMs), MAX_TIMER_MS);
      timer = setTimeout(() => resolve("expired"), delayMs);
    });
    try {
      return await Promise.race([turn, end]);
    } finally {
      clearTimeout(timer);
      endCall();
    }
  }

  #findRemainingMs(call: ForwardedCall): number | undefined {
    const timeoutMs = this.#findTimeoutMs(call);
    if (timeoutMs === undefined) return undefined;
    const { clock } = this.#dependencies;
    return call.arrivedAtMs + timeoutMs - clock.readMonotonicMs();
  }

  /** Finds the shorter one of the timeouts of a call's client and its route; undefined if it has none. */
  #findTimeoutMs(
    { host, path, clientTimeoutMs = Infinity }: Omit<ForwardedCall, "body">,
  ): number | undefined {
    const route = this.#dependencies.activeConfig.table?.findRoute(host, path);
    const timeoutMs = Math.min(clientTimeoutMs, route?.timeoutMs ?? Infinity);
    return timeoutMs === Infinity ? undefined : timeoutMs;
  }

  /** Rejects a call for which this VM had no processor time within the call's timeout. */
  #rejectUnserved(call: ForwardedCall, response: ClientResponse): void {
    this.#reject(
      call,
      response,
      "overloaded",
      "the timeout of the call or of its route expired before it was served",
      MIN_RETRY_AFTER_MS * (1 + this.#dependencies.drawUnit()),
    );
  }

  /** Rejects a call that this VM can't end before it ends itself. Another VM can serve it at once. */
  #rejectForShutdown(
    call: ForwardedCall,
    response: ClientResponse,
    route?: Route,
  ): void {
    const { shutdown } = this.#dependencies;
    this.#reject(
      call,
      response,
      "shuttingDown",
      SHUTDOWN_REASON,
      SHUTDOWN_RETRY_AFTER_MS,
    );
    shutdown.recordEnd(route?.kind ?? "unrouted", "refused");
  }

  /** Drops a call whose client has disconnected before the call was read. */
  #dropCall(call: ForwardedCall): void {
    const { log, metrics, readBarrier } = this.#dependencies;
    metrics.disconnects.inc({ stage: "unread" });
    log.write("info", "callDropped", {
      call: call.id,
      host: call.host,
      path: call.path,
      readPassMs: Math.round(readBarrier.lastPassMs),
    });
  }

  /** Finds what serves a call; undefined if the call has been rejected. */
  #openCall(
    call: ForwardedCall,
    response: ClientResponse,
  ): CallContext | undefined {
    const { table } = this.#dependencies.activeConfig;
    if (table === undefined) {
      this.#reject(call, response, "notReady", "no configuration loaded yet");
      return undefined;
    }
    const route = table.findRoute(call.host, call.path);
    if (route === undefined) {
      this.#reject(call, response, "notFound", "no route matches the path");
      return undefined;
    }
    const timeoutMs = this.#findRemainingMs(call) ?? Infinity;
    const { shutdown } = this.#dependencies;
    if (!shutdown.admits({ route: route.name, timeoutMs })) {
      this.#rejectForShutdown(call, response, route);
      return undefined;
    }
    const service = this.#pickService(table, route, call);
    if (service === undefined) {
      this.#reject(call, response, "noTarget", "the route has no service");
      return undefined;
    }
    const admitted = this.#admit(call, route, response);
    if (admitted === undefined) return undefined;
    return new CallContext({
      dependencies: this.#dependencies,
      ...admitted,
      receivedCall: call,
      route,
      service,
      configVersion: table.version,
      clientResponse: response,
    });
  }

  /** Finds the call's account; undefined if the call has been rejected. */
  #admit(
    call: ForwardedCall,
    route: Route,
    response: ClientResponse,
  ): AdmittedCall | undefined {
    try {
      return this.#dependencies.accountAdmission.admit(call, route);
    } catch (error) {
      if (!(error instanceof ServeError)) throw error;
      const { kind, message, retryAfterMs } = error;
      this.#reject(call, response, kind, message, retryAfterMs);
      return undefined;
    }
  }

  async #handleCall(context: CallContext): Promise<void> {
    if (!context.admit()) return;
    const isStream = context.route.kind === "stream" ||
      context.route.kind === "resumableStream";
    if (!isStream) return await new PlainCallHandler(context).serve();
    const prompt = context.call.generation ?? UNKNOWN_PROMPT;
    const traits = context.service.engine ?? UNKNOWN_ENGINE;
    await new GenerationHandler(context, prompt, traits).serve();
  }

  /** Picks a service by weight. If it has no targets, another service of the route is used. */
  #pickService(
    table: RouteTable,
    route: Route,
    call: ForwardedCall,
  ): ServiceSpec | undefined {
    // A stream that is taken up goes on at the service that began it.
    const names = table.listServices(route, call.resumedAttemptId ?? call.id);
    const { directory } = this.#dependencies;
    const served = names.find((name) => directory.listServing(name).length > 0);
    const name = served ?? names[0];
    return name === undefined ? undefined : table.findService(name);
  }

  #reject(
    call: ForwardedCall,
    response: ClientResponse,
    kind: ErrorKind,
    reason: string,
    retryAfterMs?: number,
  ): void {
    const { activeConfig, log, metrics, shutdown } = this.#dependencies;
    response.fail(new ServeError(kind, reason, { retryAfterMs }), call.id);
    metrics.callsRejected.inc({ kind });
    log.write("warn", "callRejected", {
      call: call.id,
      kind,
      reason,
      host: call.host,
      path: call.path,
      configVersion: activeConfig.version,
      configAgeMs: formatAge(activeConfig.getAgeMs()),
      shutdownPhase: findShutdownPhase(shutdown),
    });
  }
}
