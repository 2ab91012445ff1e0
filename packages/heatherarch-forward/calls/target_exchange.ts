/**
 * One request to one target and its answer, over a pooled connection. It is sent once at most,
 * and a connection that is in any doubt is not used again.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import type { EncodedRequest } from "../ports.ts";

/** Head of a target's answer. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Names and values alternating, as they were received. */
  readonly rawHeaders: readonly string[];
}

/** Why an exchange ended without a whole answer. */
export type ExchangeFault =
  /** Nothing was written: the target did not run it. */
  | "notSent"
  /** Nothing was written: the request is quarantined, or its target leaves or rests. */
  | "withheld"
  /** The connection ended or spoke no HTTP; the target may have run it. */
  | "lost"
  /** This side gave up. */
  | "aborted";

/** An exchange ended without a whole answer. */
export class ExchangeError extends Error {
  readonly fault: ExchangeFault;

  constructor(fault: ExchangeFault, detail: string, cause?: unknown) {
    super(detail, { cause });
    this.name = "ExchangeError";
    this.fault = fault;
  }

  /** No process listens at the target's address. */
  get isConnectionRefused(): boolean {
    return (this.cause as NodeJS.ErrnoException)?.code === "ECONNREFUSED";
  }
}

/** Takes the body of an answer as it comes. */
export interface BodyListener {
  onData(bytes: Buffer): void;
  /** The answer ended as its framing says. */
  onEnd(): void;
  onFault(error: ExchangeError): void;
}

type Controller = Dispatcher.DispatchController;

/** What the owner of the connections brings. */
export interface ExchangeHooks {
  /** Called once, when the connection is free or gone. */
  readonly onRelease: () => void;
  /** Whether the answer that ends now ends because its connection was reset. */
  readonly isReset: () => boolean;
}

/** A withheld exchange has no connection to control. */
const NO_CONTROLLER = undefined as unknown as Controller;

/** An exchange in progress. */
export class TargetExchange {
  /** Resolves with the head; rejects with an {@linkcode ExchangeError}. */
  readonly head: Promise<ResponseHead>;
  /** Settles when the connection is free or gone; with an error where there is no whole answer. */
  readonly ended: Promise<"ended" | ExchangeError>;
  readonly #waiting: Buffer[] = [];
  #resolveHead!: (head: ResponseHead) => void;
  #rejectHead!: (error: ExchangeError) => void;
  #resolveEnded!: (end: "ended" | ExchangeError) => void;
  #controller: Controller | undefined;
  #listener: BodyListener | undefined;
  #end: "open" | "ended" | ExchangeError = "open";
  #abortedWith: string | undefined;
  readonly #hooks: ExchangeHooks;

  constructor(
    dispatcher: Pick<Dispatcher, "dispatch">,
    origin: string,
    request: EncodedRequest,
    hooks: ExchangeHooks,
  ) {
    this.#hooks = hooks;
    this.head = new Promise((resolve, reject) => {
      this.#resolveHead = resolve;
      this.#rejectHead = reject;
    });
    this.ended = new Promise((resolve) => {
      this.#resolveEnded = resolve;
    });
    // A caller that gave up does not look at the head any more.
    this.head.catch(() => undefined);
    const { path, method, headers, body } = request;
    dispatcher.dispatch({
      origin,
      path,
      method: method as Dispatcher.HttpMethod,
      headers: headers as string[],
      body,
      headersTimeout: 0,
      bodyTimeout: 0,
    }, {
      onRequestStart: (controller) => this.#start(controller),
      onResponseStart: (controller, status, headers) =>
        this.#takeHead(controller, status, headers),
      onResponseData: (_controller, bytes) => this.#takeData(bytes),
      onResponseEnd: () => this.#takeEnd(),
      onResponseError: (_controller, error) => this.#fail(error),
    });
  }

  /** Whether anything may have been written to the target. */
  get isSent(): boolean {
    return this.#controller !== undefined;
  }

  /** Gives up: the connection is closed, which most targets take as a cancellation. */
  abort(reason: string): void {
    if (this.#end !== "open") return;
    this.#abortedWith ??= reason;
    if (this.#controller === undefined) {
      this.#finish(new ExchangeError("notSent", reason));
      return;
    }
    this.#controller.abort(new Error(reason));
    this.#finish(new ExchangeError("aborted", reason));
  }

  pause(): void {
    this.#controller?.pause();
  }

  resume(): void {
    this.#controller?.resume();
  }

  /** Hands the body over: what has come so far at once, the rest as it comes. */
  setBodyListener(listener: BodyListener): void {
    this.#listener = listener;
    for (const bytes of this.#waiting.splice(0)) listener.onData(bytes);
    if (this.#end === "ended") listener.onEnd();
    else if (this.#end !== "open") listener.onFault(this.#end);
  }

  /** The whole body, up to `maxBytes`; rejects with an {@linkcode ExchangeError}. */
  readBody(maxBytes: number): Promise<Buffer> {
    return new Promise((resolve, reject) => {
      const chunks: Buffer[] = [];
      let size = 0;
      this.setBodyListener({
        onData: (bytes) => {
          size += bytes.length;
          if (size > maxBytes) this.abort(`answer over ${maxBytes} bytes`);
          else chunks.push(bytes);
        },
        onEnd: () => resolve(Buffer.concat(chunks)),
        onFault: reject,
      });
    });
  }

  #start(controller: Controller): void {
    if (this.#controller !== undefined || this.#abortedWith !== undefined) {
      // The library would write the request a second time, or after it was given up.
      controller.abort(new Error("request is sent once at most"));
      return;
    }
    this.#controller = controller;
  }

  #takeHead(
    controller: Controller,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < 200) return;
    const raw = (controller.rawHeaders ?? []) as (Buffer | string)[];
    const rawHeaders = raw.map((part) =>
      typeof part === "string" ? part : part.toString("latin1")
    );
    this.#resolveHead({ status, headers, rawHeaders });
  }

  #takeData(bytes: Buffer): void {
    if (this.#end !== "open") return;
    if (this.#listener === undefined) this.#waiting.push(bytes);
    else this.#listener.onData(bytes);
  }

  #takeEnd(): void {
    if (this.#hooks.isReset()) {
      this.#finish(new ExchangeError("lost", "reset before the end"));
    } else this.#finish("ended");
  }

  #fail(error: Error): void {
    if (error instanceof ExchangeError) return this.#finish(error);
    const fault = this.isSent ? "lost" : "notSent";
    this.#finish(new ExchangeError(fault, error.message, error));
  }

  #finish(end: "ended" | ExchangeError): void {
    if (this.#end !== "open") return;
    this.#end = end;
    this.#hooks.onRelease();
    this.#resolveEnded(end);
    if (end === "ended") {
      this.#listener?.onEnd();
      return;
    }
    this.#rejectHead(end);
    this.#listener?.onFault(end);
  }
}

/** An exchange that ends at once, with nothing sent. */
export function buildWithheldExchange(reason: string): TargetExchange {
  const dispatcher = {
    dispatch: (
      _options: Dispatcher.DispatchOptions,
      handler: Dispatcher.DispatchHandler,
    ): boolean => {
      queueMicrotask(() =>
        handler.onResponseError?.(
          NO_CONTROLLER,
          new ExchangeError("withheld", reason),
        )
      );
      return true;
    },
  };
  const request = { path: "/", method: "GET", headers: [], body: null };
  return new TargetExchange(dispatcher, "", request, {
    onRelease: () => undefined,
    isReset: () => false,
  });
}
