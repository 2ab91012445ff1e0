/**
 * Relays a target's response to the client: buffered as a whole, or streamed as it arrives.
 *
 * @module
 */
import { ByteGatherer } from "heatherarch-core";
import { copyEndToEndHeaders } from "./end_to_end_headers.ts";
import type { ClientResponse } from "./client_response.ts";
import { EventBuffers } from "./event_buffers.ts";
import { isSuccessStatus } from "./http_status.ts";
import { SseSplitter } from "./sse_splitter.ts";
import {
  readReplaceableBody,
  type ReplaceableBodyOptions,
} from "./replaceable_body.ts";
import {
  ExchangeError,
  type ResponseHead,
  type TargetExchange,
} from "./target_exchange.ts";

/** Largest response that is buffered as a whole before it is sent. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
const LENGTH_HEADERS: ReadonlySet<string> = new Set(["content-length"]);

/** End of an event: a blank line. */
const EVENT_END = /\n\r?\n$/;

/**
 * Bounds of a failure response that is passed on. A longer one is probably no response, and may never
 * end; an attempt that can be repeated waits for it.
 */
const FAILURE_LIMITS = { maxBytes: 256 * 1024, timeoutMs: 1000 };

/** How the end of a response body is marked. */
export type ResponseFraming = "length" | "chunked" | "connection";

/** Returns how a target framed its response. */
export function getResponseFraming(head: ResponseHead): ResponseFraming {
  if (head.headers["content-length"] !== undefined) return "length";
  if (head.headers["transfer-encoding"] !== undefined) return "chunked";
  return "connection";
}

/** Whether a response is a stream of events according to its media type, or has none. */
function hasEvents({ headers }: ResponseHead): boolean {
  const mediaType = headers["content-type"]?.toLowerCase();
  return mediaType === undefined || mediaType.startsWith("text/event-stream");
}

/** Whether only the end of the connection marks the end of a response. */
export function isEndedByConnection(
  method: string,
  head: ResponseHead,
): boolean {
  return !isBodiless(method, head) &&
    getResponseFraming(head) === "connection";
}

function isBodiless(method: string, { status }: ResponseHead): boolean {
  return method === "HEAD" || status === 204 || status === 304;
}

/** How the body of a response ended. */
export type RelayResult = "whole" | ExchangeError;

/** A complete response, ready to be sent to the client. */
export interface BufferedResponse {
  readonly head: ResponseHead;
  readonly body: Buffer;
}

/** The start of a response that is not buffered as a whole, as it or all responses together are too large. */
export interface PartialResponse {
  readonly head: ResponseHead;
  /** What has arrived; more may be added until the response is relayed. */
  readonly begin: ByteGatherer;
}

/** A response as far as it is buffered. */
export type ReadResult =
  | { readonly kind: "whole"; readonly response: BufferedResponse }
  | { readonly kind: "partial"; readonly response: PartialResponse };

/**
 * Reads a complete response, so that the call can be retried at another target if the response is
 * truncated. Of a large response, or if all responses take too much memory, only the start is read. Rejects
 * with an {@linkcode ExchangeError}.
 */
export function readResponse(
  exchange: TargetExchange,
  head: ResponseHead,
): Promise<ReadResult> {
  return new Promise((resolve, reject) => {
    const begin = new ByteGatherer();
    const held = exchange.holdBody((bytes) => relayFrom(bytes));
    /** Stops buffering: the response is relayed from here on. */
    const relayFrom = (bytes: Buffer): void => {
      begin.append(bytes, bytes.length);
      held.release();
      exchange.pause();
      resolve({ kind: "partial", response: { head, begin } });
    };
    exchange.setBodyListener({
      onData: (bytes) => {
        if (begin.length > 0) {
          begin.append(bytes, begin.length + bytes.length);
          return;
        }
        held.append(bytes, MAX_BUFFERED_BYTES);
        if (held.length > MAX_BUFFERED_BYTES) relayFrom(held.complete());
      },
      onEnd: () => {
        const body = held.complete();
        held.release();
        resolve({ kind: "whole", response: { head, body } });
      },
      onFault: (error) => {
        held.release();
        reject(error);
      },
    });
  });
}

/**
 * Reads a complete failure response within limits. Rejects with an {@linkcode ExchangeError} beyond them,
 * or when the exchange was given up for its replacement.
 */
export async function readFailure(
  head: ResponseHead,
  options: Omit<ReplaceableBodyOptions, "limits">,
): Promise<BufferedResponse> {
  const body = await readReplaceableBody({
    ...options,
    limits: FAILURE_LIMITS,
  });
  return { head, body };
}

/**
 * Sends the start of a large response to the client, and relays the rest as it arrives. A response
 * that is truncated after its start can't be retried.
 */
export function relayPartialResponse(
  clientResponse: ClientResponse,
  exchange: TargetExchange,
  { head, begin }: PartialResponse,
): Promise<RelayResult> {
  const headers = copyEndToEndHeaders(head.rawHeaders);
  clientResponse.writeHead(head.status, headers);
  clientResponse.write(begin.take());
  const relay = new StreamRelay({
    clientResponse,
    isResumable: false,
    onFirstByte: () => undefined,
  });
  const result = relay.relay(exchange, head);
  exchange.resume();
  return result;
}

/** Sends a buffered response to the client. Its end is confirmed, so its length is known. */
export function writeResponse(
  clientResponse: ClientResponse,
  method: string,
  response: BufferedResponse,
): void {
  const { head, body } = response;
  if (isBodiless(method, head)) {
    clientResponse.writeHead(head.status, copyEndToEndHeaders(head.rawHeaders));
    clientResponse.end();
    return;
  }
  const headers = copyEndToEndHeaders(head.rawHeaders, LENGTH_HEADERS);
  headers.push("Content-Length", String(body.length));
  clientResponse.writeHead(head.status, headers);
  clientResponse.end(body);
}

/** Options of {@linkcode StreamRelay}. */
export interface StreamRelayOptions {
  readonly clientResponse: ClientResponse;
  /** Only complete events are sent, so that another target can resume after the last one. */
  readonly isResumable: boolean;
  /** The unfinished events of all streams; by default those of this relay alone. */
  readonly eventBuffers?: EventBuffers;
  /** Successful responses are streams of events, which are not complete if they end inside one. */
  readonly isEventStream?: boolean;
  /** Id of the last event that the client has received already; undefined if it has none. */
  readonly lastEventId?: string;
  /** Called when the first bytes of the body are sent. */
  readonly onFirstByte: () => void;
}

/** Relays a stream from one target or, if it is resumable, from several targets in turn. */
export class StreamRelay {
  readonly #options: StreamRelayOptions;
  #lastEventId: string | undefined;
  #isStarted = false;
  /** Head of the response that is being relayed. */
  #head: ResponseHead | undefined;

  constructor(options: StreamRelayOptions) {
    this.#options = options;
    this.#lastEventId = options.lastEventId;
  }

  /** Id of the last event that was sent. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Whether any bytes of the body were sent. */
  get isStarted(): boolean {
    return this.#isStarted;
  }

  /**
   * Relays the body of one target's response. The head of a resumable stream is sent with its first
   * event, so that a stream that breaks off before that can begin anew elsewhere.
   */
  relay(exchange: TargetExchange, head: ResponseHead): Promise<RelayResult> {
    const { isResumable } = this.#options;
    this.#head = head;
    if (!isResumable) this.#writeHead();
    const splitter = isResumable ? this.#buildSplitter(exchange) : undefined;
    let tail = "";
    return new Promise((resolve) => {
      exchange.setBodyListener({
        onData: (bytes) => {
          tail =
            (tail + bytes.toString("latin1", Math.max(0, bytes.length - 3)))
              .slice(-3);
          if (splitter === undefined) this.#write(exchange, bytes);
          else this.#writeEvents(exchange, splitter, bytes);
        },
        onEnd: () => {
          const remainder = splitter?.remainder;
          splitter?.close();
          if (this.#isCutInsideEvent(head, tail)) {
            resolve(new ExchangeError("lost", "ended inside an event"));
            return;
          }
          if (remainder !== undefined && remainder.length > 0) {
            this.#write(exchange, remainder);
          }
          this.#writeHead();
          resolve("whole");
        },
        onFault: (error) => {
          splitter?.close();
          resolve(error);
        },
      });
    });
  }

  #buildSplitter(exchange: TargetExchange): SseSplitter {
    const { eventBuffers = new EventBuffers() } = this.#options;
    return new SseSplitter({
      buffers: eventBuffers,
      onOverflow: (reason) => exchange.abort(reason),
    });
  }

  /**
   * Whether a body with these last characters is a stream that ended before a blank line. A body that
   * is as long as announced is whole, whatever it contains; so is a chunked one without events.
   */
  #isCutInsideEvent(head: ResponseHead, tail: string): boolean {
    const { isEventStream = false } = this.#options;
    if (!isEventStream || !isSuccessStatus(head.status)) return false;
    const framing = getResponseFraming(head);
    const isWhole = framing === "length" ||
      (framing === "chunked" && !hasEvents(head));
    return !isWhole && tail !== "" && !EVENT_END.test(tail);
  }

  /** Sends the head unless that of an earlier response was sent. */
  #writeHead(): void {
    const { clientResponse, isResumable } = this.#options;
    const head = this.#head;
    if (head === undefined || clientResponse.isHeadSent) return;
    const excluded = isResumable ? LENGTH_HEADERS : undefined;
    const headers = copyEndToEndHeaders(head.rawHeaders, excluded);
    clientResponse.writeHead(head.status, headers);
  }

  #writeEvents(
    exchange: TargetExchange,
    splitter: SseSplitter,
    bytes: Buffer,
  ): void {
    const fresh: Buffer[] = [];
    const lastWrittenId = this.#lastEventId;
    for (const event of splitter.push(bytes)) {
      if (this.#isRepeated(event.id)) continue;
      if (event.id !== undefined) this.#lastEventId = event.id;
      fresh.push(event.bytes);
    }
    try {
      // One write, as a write for each of many small events would cost more than the events.
      if (fresh.length === 1) this.#write(exchange, fresh[0]);
      else if (fresh.length > 1) this.#write(exchange, Buffer.concat(fresh));
    } catch (error) {
      // The stream goes on elsewhere, with the events that were not written.
      this.#lastEventId = lastWrittenId;
      throw error;
    }
  }

  /** Event ids increase, so an event whose id does not has been sent before. */
  #isRepeated(id: string | undefined): boolean {
    if (id === undefined || this.#lastEventId === undefined) return false;
    return Number(id) <= Number(this.#lastEventId);
  }

  #write(exchange: TargetExchange, bytes: Buffer): void {
    const { clientResponse, onFirstByte } = this.#options;
    if (!this.#isStarted) {
      onFirstByte();
      this.#writeHead();
      this.#isStarted = true;
    }
    if (this.#writeOrCut(bytes)) return;
    exchange.pause();
    clientResponse.registerDrainListener(() => exchange.resume());
  }

  /** Cuts the response off if a write fails: the client may have some of the bytes, and none may follow. */
  #writeOrCut(bytes: Buffer): boolean {
    const { clientResponse } = this.#options;
    try {
      return clientResponse.write(bytes);
    } catch (error) {
      clientResponse.destroy();
      throw error;
    }
  }
}
