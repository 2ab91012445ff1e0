/**
 * Sends one HTTP request through undici's dispatch interface. A guard is called in the same
 * synchronous turn that writes the request, and timeouts apply to the first byte and to the gaps
 * between bytes.
 *
 * @module
 */
import { ByteGatherer, startStallAwareTimer } from "heatherarch-core";
import { type Dispatcher } from "undici";

/**
 * Reason for a failed dispatch: `notSent` if no byte was written, `withheld` if the guard rejected
 * the request, `silent` if no data arrived within a timeout, and `broken` for any other failure.
 */
export type DispatchFailure = "notSent" | "withheld" | "broken" | "silent";

/** Receives the response. Exactly one of `onDone` and `onFailure` is called last. */
export interface DispatchSink {
  onHead(
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void;
  onData(bytes: Buffer): void;
  onDone(): void;
  onFailure(failure: DispatchFailure, detail: string): void;
}

/** Options of {@linkcode dispatch}. */
export interface DispatchOptions {
  readonly path: string;
  readonly method: string;
  readonly headers?: Record<string, string>;
  /** Complete body. It is written in the same turn as the head. */
  readonly body?: Buffer | string;
  readonly firstByteMs: number;
  readonly gapMs: number;
  /** Called just before the first byte is written. If it returns false, the request is withheld. */
  readonly guard?: () => boolean;
}

/** A request in progress. */
export interface InFlightRequest {
  readonly isSent: boolean;
  /** Destroys the connection. No callback is called afterwards. */
  abort(): void;
}

class AbortedError extends Error {}

/** Sends one request. */
export function dispatch(
  dispatcher: Dispatcher,
  options: DispatchOptions,
  sink: DispatchSink,
): InFlightRequest {
  const handler = new DispatchHandler(options, sink);
  try {
    dispatcher.dispatch(
      {
        path: options.path,
        method: options.method as Dispatcher.HttpMethod,
        headers: options.headers,
        body: options.body ?? null,
        headersTimeout: options.firstByteMs,
        bodyTimeout: options.gapMs,
      },
      handler,
    );
  } catch (error) {
    handler.fail("notSent", (error as Error).message);
  }
  return handler;
}

class DispatchHandler implements Dispatcher.DispatchHandler, InFlightRequest {
  readonly #options: DispatchOptions;
  readonly #sink: DispatchSink;
  #controller: Dispatcher.DispatchController | undefined;
  #isSent = false;
  #isWithheld = false;
  #isFinished = false;

  constructor(options: DispatchOptions, sink: DispatchSink) {
    this.#options = options;
    this.#sink = sink;
  }

  get isSent(): boolean {
    return this.#isSent;
  }

  abort(): void {
    this.#isFinished = true;
    this.#controller?.abort(new AbortedError("abandoned"));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#isFinished) {
      controller.abort(new AbortedError("abandoned"));
      return;
    }
    if (this.#options.guard !== undefined && !this.#options.guard()) {
      this.#isWithheld = true;
      controller.abort(new AbortedError("withheld"));
      return;
    }
    this.#isSent = true;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (this.#isFinished || status < 200) return;
    this.#sink.onHead(status, headers);
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    bytes: Buffer,
  ): void {
    if (!this.#isFinished) this.#sink.onData(bytes);
  }

  onResponseEnd(): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.#sink.onDone();
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (this.#isWithheld) return this.fail("withheld", "rejected by guard");
    if (!this.#isSent) return this.fail("notSent", error.message);
    const code = (error as { code?: string }).code ?? "";
    const isTimeout = code === "UND_ERR_HEADERS_TIMEOUT" ||
      code === "UND_ERR_BODY_TIMEOUT";
    this.fail(isTimeout ? "silent" : "broken", error.message);
  }

  fail(failure: DispatchFailure, detail: string): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.#sink.onFailure(failure, detail);
  }
}

/** Result of {@linkcode dispatchBuffered}. */
export type BufferedResponse =
  | {
    readonly kind: "answer";
    readonly status: number;
    readonly headers: Record<string, string | string[] | undefined>;
    readonly body: Buffer;
  }
  | { readonly kind: DispatchFailure; readonly detail: string };

/** Largest response to a request of ours, as for the state of a target or an order. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Options of {@linkcode dispatchBuffered}. */
export interface BufferedDispatchOptions
  extends Omit<DispatchOptions, "firstByteMs" | "gapMs"> {
  /** Longest time from when the request is written until its response is complete. */
  readonly timeoutMs: number;
  readonly maxResponseBytes?: number;
}

/** Sends one request and buffers the complete response, up to a limit. */
export function dispatchBuffered(
  dispatcher: Dispatcher,
  options: BufferedDispatchOptions,
): Promise<BufferedResponse> {
  const { maxResponseBytes: maxBytes = MAX_BUFFERED_BYTES, timeoutMs } =
    options;
  let stopTimer = (): void => undefined;
  const response = new Promise<BufferedResponse>((resolve) => {
    const body = new ByteGatherer();
    let status = 0;
    let headers: Record<string, string | string[] | undefined> = {};
    const giveUp = (kind: DispatchFailure, detail: string): void => {
      request.abort();
      resolve({ kind, detail });
    };
    const startTimer = (): void => {
      stopTimer();
      const detail = `the response is not complete within ${timeoutMs} ms`;
      stopTimer = startStallAwareTimer(
        () => giveUp("silent", detail),
        timeoutMs,
      );
    };
    const request = dispatch(dispatcher, {
      ...options,
      firstByteMs: 0,
      gapMs: 0,
      guard: () => {
        if (options.guard?.() === false) return false;
        startTimer();
        return true;
      },
    }, {
      onHead: (responseStatus, responseHeaders) => {
        status = responseStatus;
        headers = responseHeaders;
      },
      onData: (bytes) => {
        if (body.length + bytes.length > maxBytes) {
          giveUp("broken", `the response is longer than ${maxBytes} bytes`);
        } else body.append(bytes, maxBytes);
      },
      onDone: () =>
        resolve({ kind: "answer", status, headers, body: body.bytes }),
      onFailure: (kind, detail) => resolve({ kind, detail }),
    });
  });
  return response.finally(() => stopTimer());
}
