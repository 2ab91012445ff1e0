/**
 * One call that is handed over to a peer, and the response that the peer relays.
 *
 * @module
 */
import type { ServeError } from "heatherarch-core";
import type { IncomingHttpHeaders } from "node:http";
import type { HandoverConnection } from "heatherarch-handover";
import type { Dispatcher } from "undici";
import { UNKNOWN_ATTEMPTS } from "./attempt_ledger.ts";
import type { AttemptCounts } from "../model.ts";
import {
  decodeHandoverFailure,
  decodeHandoverResponse,
  findAttemptCounts,
  type HandoverResponseHead,
} from "./handover_codec.ts";
import { TargetExchange } from "./target_exchange.ts";

/** Cause of an exchange's end if the peer ended the call without a response of a target. */
export class PeerFailureError extends Error {
  /** The error with which the peer ended the call. */
  readonly failure: ServeError;
  /** Requests of the call that the peer and the VMs before it have counted. */
  readonly attempts: AttemptCounts;
  /** Whether the peer told these counts. One of earlier software does not. */
  readonly hasCounts: boolean;

  constructor(failure: ServeError, attempts: AttemptCounts | undefined) {
    super(failure.message);
    this.name = "PeerFailureError";
    this.failure = failure;
    this.attempts = attempts ?? UNKNOWN_ATTEMPTS;
    this.hasCounts = attempts !== undefined;
  }

  /** Whether the call has not run at the peer, which got it with the counts `before`. */
  hasNotRun(before: AttemptCounts): boolean {
    if (this.failure.run === "no") return true;
    return this.hasCounts && countRuns(this.attempts) === countRuns(before);
  }
}

/** The exchange takes its request from the head and the body of the call. */
const NO_REQUEST = { path: "/", method: "GET", headers: [], body: null };

/** Sends an accepted call. Its exchange is used like one with a target. */
export function sendToPeer(
  connection: HandoverConnection,
  head: unknown,
  body: Buffer,
): TargetExchange {
  const dispatch = (
    _options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean => {
    const controller = new PeerController(connection);
    handler.onRequestStart?.(controller, undefined);
    connection.send(head, body, {
      onResponse: (response) =>
        startResponse(handler, controller, decodeHandoverResponse(response)),
      onBytes: (bytes) => handler.onResponseData?.(controller, bytes),
      onEnd: () => handler.onResponseEnd?.(controller, {}),
      onFailure: (failure) =>
        handler.onResponseError?.(
          controller,
          new PeerFailureError(
            decodeHandoverFailure(failure),
            findAttemptCounts(failure),
          ),
        ),
      onLost: (reason) =>
        handler.onResponseError?.(controller, new Error(reason)),
    });
    return true;
  };
  return new TargetExchange({ dispatch }, "", NO_REQUEST, {
    onRelease: () => undefined,
  });
}

function countRuns({ sent, prefills }: AttemptCounts): number {
  return sent - prefills;
}

function startResponse(
  handler: Dispatcher.DispatchHandler,
  controller: PeerController,
  head: HandoverResponseHead | undefined,
): void {
  if (head === undefined) {
    controller.abort(new Error("the peer sent a malformed response head"));
    return;
  }
  controller.setRawHeaders(head.headers);
  handler.onResponseStart?.(
    controller,
    head.status,
    buildHeaders(head),
    "",
  );
}

/**
 * Builds the headers, from which the framing of the response follows. The peer marks the end of a body,
 * so one without a length is like one in chunks.
 */
function buildHeaders({ headers }: HandoverResponseHead): IncomingHttpHeaders {
  const byName: Record<string, string> = {};
  for (let i = 0; i + 1 < headers.length; i += 2) {
    byName[headers[i].toLowerCase()] = headers[i + 1];
  }
  if (byName["content-length"] === undefined) {
    byName["transfer-encoding"] = "chunked";
  }
  return byName;
}

/** Controls a handed-over call as undici's controller controls a request. */
class PeerController implements Dispatcher.DispatchController {
  readonly #connection: HandoverConnection;
  #rawHeaders: Buffer[] = [];
  #isPaused = false;
  #isAborted = false;
  #reason: Error | null = null;

  constructor(connection: HandoverConnection) {
    this.#connection = connection;
  }

  get aborted(): boolean {
    return this.#isAborted;
  }

  get paused(): boolean {
    return this.#isPaused;
  }

  get reason(): Error | null {
    return this.#reason;
  }

  get rawHeaders(): Buffer[] {
    return this.#rawHeaders;
  }

  setRawHeaders(headers: readonly string[]): void {
    this.#rawHeaders = headers.map((text) => Buffer.from(text, "latin1"));
  }

  abort(reason: Error): void {
    this.#isAborted = true;
    this.#reason = reason;
    this.#connection.close();
  }

  pause(): void {
    this.#isPaused = true;
    this.#connection.pause();
  }

  resume(): void {
    this.#isPaused = false;
    this.#connection.resume();
  }
}
