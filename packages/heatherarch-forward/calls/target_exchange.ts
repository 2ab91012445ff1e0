/**
 * One request to one target and its response, over a pooled connection. The request is sent at most
 * once, and a connection in an uncertain state is not reused.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import { RuntimeClock, startStallAwareTimer } from "heatherarch-core";
import {
  BodyMemory,
  type FramedBody,
  type FramingBudget,
  type HeldBody,
} from "heatherarch-client-limits";
import type { Dispatcher } from "undici";
import type { EncodedRequest } from "../ports.ts";
import { type ConnectionReads, registerStart } from "./connection_reads.ts";
import { PartJoiner } from "./part_joiner.ts";
import { isUnwritten } from "./unwritten_requests.ts";

/** Head of a target's response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Alternating names and values, as received. */
  readonly rawHeaders: readonly string[];
}

/** Why an exchange ended without a complete response. */
export type ExchangeFault =
  /** Nothing was written, so the target did not run the request. */
  | "notSent"
  /** Nothing was written: the request is quarantined, or its target is leaving or in backoff. */
  | "withheld"
  /** The connection closed or did not speak HTTP. The target may have run the request. */
  | "lost"
  /** This VM aborted the exchange. */
  | "aborted";

/** Thrown when an exchange ended without a complete response. */
export class ExchangeError extends Error {
  readonly fault: ExchangeFault;

  constructor(fault: ExchangeFault, detail: string, cause?: unknown) {
    super(detail, { cause });
    this.name = "ExchangeError";
    this.fault = fault;
  }

  /** Whether the request itself could not be encoded, for example as it has two `Host` headers. */
  get isRequestInvalid(): boolean {
    return (this.cause as NodeJS.ErrnoException)?.code ===
      "UND_ERR_INVALID_ARG";
  }

  /** Whether no process listens at the target's address. */
  get isConnectionRefused(): boolean {
    return (this.cause as NodeJS.ErrnoException)?.code === "ECONNREFUSED";
  }
}

/** Receives the body of a response as it arrives. */
export interface BodyListener {
  /** Called with what has arrived. Small parts are joined, as each one by itself would have its cost. */
  onData(bytes: Buffer): void;
  /** Called when the response ended as its framing requires. */
  onEnd(): void;
  onFault(error: ExchangeError): void;
}

type Controller = Dispatcher.DispatchController;

/** A bound on what the responses of all targets together may take, which a response has met. */
export type ResponseLimit = "smallChunks" | "bodyMemory";

/** Hooks of the owner of the connections. */
export interface ExchangeHooks {
  /** Called once, when the connection is free or closed. */
  readonly onRelease: () => void;
  /** Asked right before the request is written: whether that may still be done. By default it may. */
  readonly mayWrite?: () => boolean;
  /** Returns the current monotonic time, milliseconds. */
  readonly readMonotonicMs?: () => number;
  /** The work on bodies in very small chunks. By default it is not limited. */
  readonly framing?: FramingBudget;
  /** The memory for the bodies of all responses. By default it is not limited. */
  readonly bodies?: BodyMemory;
  /** Called when a response has met a limit, once for each. */
  readonly onLimited?: (limit: ResponseLimit) => void;
}

/** Interim responses that a target may send before its response; beyond them they may never end. */
const MAX_INTERIM_RESPONSES = 32;
/** Bounds of a body that tells nothing. A target that works sends it at once. */
const DISCARDED_BODY = { maxBytes: 64 * 1024, timeoutMs: 500 };

/**
 * Bytes of a body that are kept before anything reads it, as while the incarnation that sent it is
 * checked. No more is read from the connection until then.
 */
const MAX_UNREAD_BYTES = 1024 * 1024;
/** Bytes that a listener gets at a time of what was kept, as from a read of a connection. */
const UNREAD_PART_BYTES = 64 * 1024;

/** Small parts are joined up to this size before they are handed on. */
const MAX_JOINED_BYTES = 16 * 1024;
/** Parts below this size count as very small chunks. Larger ones may be reads of a body without chunks. */
const SMALL_PART_BYTES = 512;
/** The size of a chunk in one digit, and the ends of two lines. */
const MIN_CHUNK_FRAMING_BYTES = 5;

/** Bounds of a body that is read as a whole. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Longest time until the body is complete, milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Bounds of the response to a call that has ended, which is completed since the call must not be repeated
 * elsewhere.
 */
export const ABANDONED_BODY: BodyLimits = {
  maxBytes: 1024 * 1024,
  timeoutMs: 5000,
};

const SMALL_PARTS_REASON = "response of an ended call in very small parts";
const NO_LISTENER: BodyListener = {
  onData: () => undefined,
  onEnd: () => undefined,
  onFault: () => undefined,
};

const RUNTIME_CLOCK = new RuntimeClock();
const UNLIMITED_MEMORY = new BodyMemory({ maxBytes: Infinity });
const NO_BYTES = Buffer.alloc(0);

/** An unsent exchange has no connection, so its handlers never use the controller. */
const NO_CONTROLLER = undefined as unknown as Controller;

/** An exchange in progress. */
export class TargetExchange {
  /** Resolves with the head, or rejects with an {@linkcode ExchangeError}. */
  readonly head: Promise<ResponseHead>;
  /**
   * Resolves when the connection is free or closed; with an error if the response is incomplete.
   */
  readonly ended: Promise<"ended" | ExchangeError>;
  /** What has arrived before anything reads the body. */
  #unread: HeldBody | undefined;
  /** The same, once the exchange has ended. */
  #unreadAtEnd: Buffer = NO_BYTES;
  /** What has arrived and is not handed on yet. */
  readonly #arrived = new PartJoiner();
  #resolveHead!: (head: ResponseHead) => void;
  #rejectHead!: (error: ExchangeError) => void;
  #resolveEnded!: (end: "ended" | ExchangeError) => void;
  #controller: Controller | undefined;
  /** Reads of the connection; undefined until the request is written. */
  #reads: ConnectionReads | undefined;
  #listener: BodyListener | undefined;
  /** Bytes that may still arrive once the call has ended; undefined before. */
  #abandonedBytes: number | undefined;
  #end: "open" | "ended" | ExchangeError = "open";
  #abortReason: string | undefined;
  #interimResponses = 0;
  /** Monotonic time from which the silence of the target counts. */
  #silentSinceMs = -Infinity;
  /** Whether the body is not read for the sake of its listener. */
  #isPaused = false;
  /** The work on a body in very small parts; undefined if it is not limited. */
  #framing: FramedBody | undefined;
  #framingBytes = 0;
  /** Whether more may arrive in this pass of the event loop. */
  #isInBatch = false;
  /** Whether the body is not read for the sake of other work. */
  #isAwaitingTurn = false;
  readonly #metLimits = new Set<ResponseLimit>();
  readonly #receiptListeners = new Set<() => void>();
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
    // A handler that has given up no longer awaits the head.
    this.head.catch(() => undefined);
    try {
      this.#dispatch(dispatcher, origin, request);
    } catch (error) {
      // Nothing was written. The sender has to have the exchange before it ends.
      queueMicrotask(() => this.#fail(toError(error)));
    }
  }

  #dispatch(
    dispatcher: Pick<Dispatcher, "dispatch">,
    origin: string,
    { path, method, headers, body }: EncodedRequest,
  ): void {
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
        this.#handleHead(controller, status, headers),
      onResponseData: (_controller, bytes) => this.#handleData(bytes),
      onResponseEnd: () => this.#finish("ended"),
      onResponseError: (_controller, error) => this.#fail(error),
    });
  }

  /** Whether anything may have been written to the target. */
  get isSent(): boolean {
    return this.#controller !== undefined;
  }

  /** Whether the exchange ended without a complete response. */
  get hasFailed(): boolean {
    return this.#end instanceof ExchangeError;
  }

  /** Whether something reads the body. */
  get isRead(): boolean {
    return this.#listener !== undefined;
  }

  /** Whether the rest of a body in very small parts waits, so that other work goes on. */
  get isAwaitingTurn(): boolean {
    return this.#isAwaitingTurn;
  }

  /** Registers a listener for each head and each part of the body. Returns its removal. */
  registerReceiptListener(listener: () => void): () => void {
    this.#receiptListeners.add(listener);
    return () => {
      this.#receiptListeners.delete(listener);
    };
  }

  /**
   * Time without anything from the target, milliseconds: infinite before its response begins, 0 while
   * the body is not read.
   */
  getSilentMs(nowMs: number): number {
    const isUnread = this.#isPaused || this.#isAwaitingTurn;
    return isUnread ? 0 : nowMs - this.#silentSinceMs;
  }

  /** Aborts the exchange by closing its connection, which most targets treat as a cancellation. */
  abort(reason: string): void {
    if (this.#end !== "open") return;
    this.#abortReason ??= reason;
    if (this.#controller === undefined) {
      this.#finish(new ExchangeError("notSent", reason));
      return;
    }
    this.#controller.abort(new Error(reason));
    this.#finish(new ExchangeError("aborted", reason));
  }

  /**
   * Reads the rest of the body within limits, since its call has ended: the listener learns how it ends, and gets no
   * more of it. A client that has left would never let it be read on. A body in very small parts is closed once it
   * has to wait for its turn, so that the turns are left to calls that go on.
   */
  abandon({ maxBytes, timeoutMs }: BodyLimits = ABANDONED_BODY): void {
    if (this.#end !== "open" || this.#abandonedBytes !== undefined) return;
    this.#abandonedBytes = maxBytes;
    if (this.#listener === undefined) this.setBodyListener(NO_LISTENER);
    if (this.#isAwaitingTurn) {
      this.abort(SMALL_PARTS_REASON);
      return;
    }
    const stopTimer = startStallAwareTimer(
      () => this.abort(`response not complete within ${timeoutMs} ms`),
      timeoutMs,
    );
    void this.ended.then(stopTimer);
    this.resume();
  }

  /** Stops reading the body, for a client that reads more slowly than the target sends. */
  pause(): void {
    if (this.#end !== "open" || this.#abandonedBytes !== undefined) return;
    this.#isPaused = true;
    this.#controller?.pause();
  }

  /** Continues to read the body after {@linkcode pause}. */
  resume(): void {
    // The connection may be in use for another exchange.
    if (this.#end !== "open") return;
    if (this.#isPaused) this.#restartSilence();
    this.#isPaused = false;
    this.#readOn();
  }

  /**
   * Sets the listener for the body. Buffered bytes are delivered immediately, the rest as it
   * arrives.
   */
  setBodyListener(listener: BodyListener): void {
    const end = this.#end;
    this.#listener = listener;
    const unread = this.#takeUnread();
    const isStopped = unread.length > MAX_UNREAD_BYTES;
    if (isStopped) this.#isPaused = false;
    for (let at = 0; at < unread.length; at += UNREAD_PART_BYTES) {
      listener.onData(unread.subarray(at, at + UNREAD_PART_BYTES));
      // The listener has aborted the exchange, and knows it.
      if (this.#end !== end) return;
    }
    if (end === "ended") listener.onEnd();
    else if (end !== "open") listener.onFault(end);
    // Not before, since it may read more at once; and not if the listener has paused the body itself.
    else if (isStopped && !this.#isPaused) this.resume();
  }

  /**
   * Reads a body within limits, beyond which the exchange is aborted. Rejects with an
   * {@linkcode ExchangeError}.
   */
  async readBody(limits: BodyLimits): Promise<Buffer> {
    const body = this.holdBody();
    try {
      await this.#readLimited(
        limits,
        (bytes) => body.append(bytes, limits.maxBytes),
      );
      return body.complete();
    } finally {
      body.release();
    }
  }

  /**
   * Opens a buffer in the memory for the bodies of all responses. If it has to give way, `onEvicted` is called
   * with what it holds; by default the exchange is aborted.
   */
  holdBody(
    onEvicted: (bytes: Buffer) => void = () =>
      this.abort("too much memory of responses at this VM"),
  ): HeldBody {
    const { bodies = UNLIMITED_MEMORY } = this.#hooks;
    return bodies.open((bytes) => {
      this.#reportLimit("bodyMemory");
      onEvicted(bytes);
    });
  }

  #reportLimit(limit: ResponseLimit): void {
    if (this.#metLimits.has(limit)) return;
    this.#metLimits.add(limit);
    this.#hooks.onLimited?.(limit);
  }

  /**
   * Discards a body, which keeps the connection reusable. The connection of one that does not end is
   * closed.
   */
  discardBody(limits: BodyLimits = DISCARDED_BODY): void {
    this.#readLimited(limits, () => undefined).catch(() => undefined);
    this.resume();
  }

  /** Reads a body within limits. Rejects with an {@linkcode ExchangeError}. */
  async #readLimited(
    { maxBytes, timeoutMs }: BodyLimits,
    onData: (bytes: Buffer) => void,
  ): Promise<void> {
    const stopTimer = startStallAwareTimer(
      () => this.abort(`response not complete within ${timeoutMs} ms`),
      timeoutMs,
    );
    let size = 0;
    try {
      await new Promise<void>((resolve, reject) =>
        this.setBodyListener({
          onData: (bytes) => {
            size += bytes.length;
            if (size <= maxBytes) onData(bytes);
            else this.abort(`response exceeds ${maxBytes} bytes`);
          },
          onEnd: resolve,
          onFault: reject,
        })
      );
    } finally {
      stopTimer();
    }
  }

  #start(controller: Controller): void {
    if (this.#controller !== undefined || this.#end !== "open") {
      // undici would write the request a second time, or after its exchange has ended.
      controller.abort(new Error("a request is sent at most once"));
      return;
    }
    if (this.#hooks.mayWrite?.() === false) {
      const reason = "the process stalled before the request was written";
      this.#finish(new ExchangeError("withheld", reason));
      controller.abort(new Error(reason));
      return;
    }
    this.#controller = controller;
    registerStart((reads) => {
      this.#reads = reads;
      // undici fails an assertion when the connection of a paused body ends. Nothing is left to read then.
      reads.setEndListener(() => {
        this.#isAwaitingTurn = false;
        this.resume();
      });
    });
  }

  #handleHead(
    controller: Controller,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    this.#recordReceipt();
    this.#reads?.recordHead();
    if (status < 200) return this.#handleInterimHead();
    const raw = (controller.rawHeaders ?? []) as (Buffer | string)[];
    const rawHeaders = raw.map((part) =>
      typeof part === "string" ? part : part.toString("latin1")
    );
    this.#framing = this.#hooks.framing?.open();
    this.#resolveHead({ status, headers, rawHeaders });
  }

  #handleInterimHead(): void {
    this.#interimResponses++;
    if (this.#interimResponses > MAX_INTERIM_RESPONSES) {
      this.abort(`more than ${MAX_INTERIM_RESPONSES} interim responses`);
    }
  }

  #handleData(bytes: Buffer): void {
    if (this.#end !== "open") return;
    // undici hands on an empty part when a paused body is resumed. A listener would pause it again.
    if (bytes.length === 0) return;
    this.#reads?.recordBody(bytes.length);
    if (!this.#isInBatch) this.#beginBatch();
    if (bytes.length < SMALL_PART_BYTES) {
      this.#framingBytes += MIN_CHUNK_FRAMING_BYTES;
    }
    this.#arrived.add(bytes);
    if (this.#arrived.length >= MAX_JOINED_BYTES) this.#handOn();
  }

  #beginBatch(): void {
    this.#isInBatch = true;
    this.#recordReceipt();
    this.#framing?.beginRead();
    queueMicrotask(() => this.#endBatch());
  }

  /** Hands on what has arrived, and waits before more is read if it came in very small parts. */
  #endBatch(): void {
    this.#isInBatch = false;
    this.#handOn();
    const framing = this.#framing;
    if (framing === undefined || this.#end !== "open") return;
    // One more part arrives after a pause.
    if (this.#isAwaitingTurn || !framing.record(this.#framingBytes)) return;
    this.#reportLimit("smallChunks");
    if (this.#abandonedBytes !== undefined) {
      this.abort(SMALL_PARTS_REASON);
      return;
    }
    this.#awaitTurn(framing.awaitTurn(this.#framingBytes));
  }

  #awaitTurn(turn: Promise<void>): void {
    this.#isAwaitingTurn = true;
    this.#controller?.pause();
    void turn.then(() => {
      this.#isAwaitingTurn = false;
      this.#restartSilence();
      if (this.#end === "open") this.#readOn();
    });
  }

  /** Continues to read the body unless something else has to happen first. */
  #readOn(): void {
    if (!this.#isPaused && !this.#isAwaitingTurn) this.#controller?.resume();
  }

  /** Hands on what has arrived. */
  #handOn(): void {
    if (this.#arrived.length === 0) return;
    const bytes = this.#arrived.take();
    if (this.#abandonedBytes !== undefined) {
      this.#abandonedBytes -= bytes.length;
      if (this.#abandonedBytes < 0) this.abort("response of an ended call");
      return;
    }
    const listener = this.#listener;
    if (listener === undefined) this.#keepUnread(bytes);
    else this.#notify(() => listener.onData(bytes));
  }

  /**
   * Calls the listener for the body. If it throws, the rest of the response can't be read either, and the
   * listener is told that the exchange has failed.
   */
  #notify(step: () => void): void {
    try {
      step();
    } catch (thrown) {
      const error = toError(thrown);
      const fault = new ExchangeError("aborted", error.message, error);
      if (this.#end !== "open") this.#listener?.onFault(fault);
      else {
        this.#controller?.abort(error);
        this.#finish(fault);
      }
    }
  }

  #keepUnread(bytes: Buffer): void {
    const unread = this.#unread ??= this.holdBody();
    unread.append(bytes, MAX_UNREAD_BYTES);
    if (unread.length > MAX_UNREAD_BYTES) this.pause();
  }

  #takeUnread(): Buffer {
    const bytes = this.#unread?.complete() ?? this.#unreadAtEnd;
    this.#unread?.release();
    this.#unread = undefined;
    this.#unreadAtEnd = NO_BYTES;
    return bytes;
  }

  #recordReceipt(): void {
    this.#restartSilence();
    for (const listener of this.#receiptListeners) listener();
  }

  #restartSilence(): void {
    const { readMonotonicMs = () => RUNTIME_CLOCK.readMonotonicMs() } =
      this.#hooks;
    this.#silentSinceMs = readMonotonicMs();
  }

  #fail(error: Error): void {
    if (error instanceof ExchangeError) return this.#finish(error);
    const fault = this.isSent && !isUnwritten(error) ? "lost" : "notSent";
    this.#finish(new ExchangeError(fault, error.message, error));
  }

  #finish(end: "ended" | ExchangeError): void {
    if (this.#end !== "open") return;
    this.#handOn();
    // The listener may have aborted the exchange.
    if (this.#end !== "open") return;
    this.#end = end;
    this.#framing?.close();
    this.#unreadAtEnd = this.#takeUnread();
    // An idle connection would keep this exchange and what it has read.
    this.#reads?.setEndListener(undefined);
    this.#hooks.onRelease();
    this.#resolveEnded(end);
    if (end === "ended") {
      this.#notify(() => this.#listener?.onEnd());
      return;
    }
    this.#rejectHead(end);
    this.#listener?.onFault(end);
  }
}

/** Builds an exchange that ends immediately without sending anything, as it must not be sent. */
export function buildWithheldExchange(reason: string): TargetExchange {
  return buildUnsentExchange(new ExchangeError("withheld", reason));
}

/**
 * Builds an exchange that ends immediately as an unreachable target's does, since an error came up before
 * anything was sent.
 */
export function buildFailedExchange(thrown: unknown): TargetExchange {
  const error = toError(thrown);
  return buildUnsentExchange(
    new ExchangeError("notSent", error.message, error),
  );
}

function buildUnsentExchange(error: ExchangeError): TargetExchange {
  const dispatcher = {
    dispatch: (
      _options: Dispatcher.DispatchOptions,
      handler: Dispatcher.DispatchHandler,
    ): boolean => {
      queueMicrotask(() => handler.onResponseError?.(NO_CONTROLLER, error));
      return true;
    },
  };
  const request = { path: "/", method: "GET", headers: [], body: null };
  return new TargetExchange(dispatcher, "", request, {
    onRelease: () => undefined,
  });
}

function toError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}
