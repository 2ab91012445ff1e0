/**
 * Passing a target's answer on to the caller: whole once it is whole, or event by event.
 *
 * @module
 */
import { copyEndToEndHeaders } from "./end_to_end_headers.ts";
import type { ClientResponse } from "./client_response.ts";
import { SseSplitter } from "./sse_splitter.ts";
import type {
  ExchangeError,
  ResponseHead,
  TargetExchange,
} from "./target_exchange.ts";

/** Answers up to this size are held until they are whole; larger ones are passed on as they come. */
const MAX_HELD_BYTES = 1024 * 1024;
const LENGTH_HEADERS: ReadonlySet<string> = new Set(["content-length"]);

/** How an answer's end is told. */
export type ResponseFraming = "length" | "chunked" | "connection";

/** How a target framed its answer; one that ends with its connection may be cut unseen. */
export function getResponseFraming(head: ResponseHead): ResponseFraming {
  if (head.headers["content-length"] !== undefined) return "length";
  if (head.headers["transfer-encoding"] !== undefined) return "chunked";
  return "connection";
}

/** How the body of an answer ended. */
export type RelayResult = "whole" | ExchangeError;

/** An answer that is held whole, ready to be passed on. */
export interface BufferedResponse {
  readonly head: ResponseHead;
  readonly body: Buffer;
}

/**
 * Reads an answer whole, so that one that breaks off can be tried elsewhere. Rejects with an
 * {@linkcode ExchangeError}.
 */
export async function readResponse(
  exchange: TargetExchange,
  head: ResponseHead,
): Promise<BufferedResponse> {
  return { head, body: await exchange.readBody(MAX_HELD_BYTES) };
}

/** Passes a held answer on. */
export function writeResponse(
  caller: ClientResponse,
  method: string,
  answer: BufferedResponse,
): void {
  const { head, body } = answer;
  const isBodiless = method === "HEAD" || head.status === 204 ||
    head.status === 304;
  if (isBodiless) {
    caller.writeHead(head.status, copyEndToEndHeaders(head.rawHeaders));
    caller.end();
    return;
  }
  const headers = copyEndToEndHeaders(head.rawHeaders, LENGTH_HEADERS);
  // Nobody knows whether a body that ended with its connection is whole: a length of ours
  // would claim that it is.
  const endsConnection = getResponseFraming(head) === "connection";
  if (!endsConnection) headers.push("Content-Length", String(body.length));
  caller.writeHead(head.status, headers, { endsConnection });
  caller.end(body);
}

/** Options of {@linkcode StreamRelay}. */
export interface StreamRelayOptions {
  readonly clientResponse: ClientResponse;
  /** Events are passed on whole, so that another run can go on after the last one. */
  readonly isResumable: boolean;
  /** Called when the first bytes of the answer's body go out. */
  readonly onFirstByte: () => void;
}

/** Passes a stream on, from one target or, where it may be resumed, from several in turn. */
export class StreamRelay {
  readonly #options: StreamRelayOptions;
  #lastEventId: string | undefined;
  #isStarted = false;

  constructor(options: StreamRelayOptions) {
    this.#options = options;
  }

  /** Id of the last event that was passed on. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Whether any bytes of the body were passed on. */
  get isStarted(): boolean {
    return this.#isStarted;
  }

  /** Passes the body of one run on; the head of the first run stands for all. */
  relay(exchange: TargetExchange, head: ResponseHead): Promise<RelayResult> {
    const { clientResponse: caller, isResumable } = this.#options;
    if (!caller.isHeadSent) {
      const drop = isResumable ? LENGTH_HEADERS : undefined;
      const endsConnection = getResponseFraming(head) === "connection";
      const headers = copyEndToEndHeaders(head.rawHeaders, drop);
      caller.writeHead(head.status, headers, { endsConnection });
    }
    const splitter = isResumable ? new SseSplitter() : undefined;
    return new Promise((resolve) => {
      exchange.setBodyListener({
        onData: (bytes) => {
          if (splitter === undefined) this.#write(exchange, bytes);
          else this.#pushEvents(exchange, splitter, bytes);
        },
        onEnd: () => {
          if (splitter !== undefined && splitter.remainder.length > 0) {
            this.#write(exchange, splitter.remainder);
          }
          resolve("whole");
        },
        onFault: resolve,
      });
    });
  }

  #pushEvents(
    exchange: TargetExchange,
    splitter: SseSplitter,
    bytes: Buffer,
  ): void {
    for (const event of splitter.push(bytes)) {
      if (this.#isRepeated(event.id)) continue;
      if (event.id !== undefined) this.#lastEventId = event.id;
      this.#write(exchange, event.bytes);
    }
  }

  /** Event ids increase; one that does not has been passed on before. */
  #isRepeated(id: string | undefined): boolean {
    if (id === undefined || this.#lastEventId === undefined) return false;
    return Number(id) <= Number(this.#lastEventId);
  }

  #write(exchange: TargetExchange, bytes: Buffer): void {
    const { clientResponse: caller, onFirstByte } = this.#options;
    if (!this.#isStarted) {
      this.#isStarted = true;
      onFirstByte();
    }
    if (caller.write(bytes)) return;
    exchange.pause();
    caller.registerDrainListener(() => exchange.resume());
  }
}
