/**
 * The response of one call to its client. It is written once.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import { buildErrorBody, type ServeError } from "heatherarch-core";
import type { AttemptCounts } from "../model.ts";
import type { ClientConnection } from "./client_connection.ts";

/** `Retry-After` is given in hundredths of a second. */
const RETRY_AFTER_STEP_MS = 10;
const STEPS_PER_SECOND = 100;

/** Where the response of one call is written, once. */
export interface ClientResponse {
  /** Whether the client closed its connection before the response was complete. */
  readonly isDisconnected: boolean;
  /** Whether the head of a response has been sent. */
  readonly isHeadSent: boolean;
  /** Registers a listener for the client's disconnect. Returns a function that removes it. */
  registerDisconnectListener(listener: () => void): () => void;
  /**
   * Sends the head of a target's response. A body without a length is sent in chunks, if the client
   * speaks HTTP/1.1, so that the client can tell its end from that of the connection.
   */
  writeHead(status: number, headers: readonly string[]): void;
  /**
   * Writes bytes. Returns false if the next write should wait for
   * {@linkcode registerDrainListener}.
   */
  write(bytes: Buffer): boolean;
  /** Calls `listener` once the write buffer has drained. */
  registerDrainListener(listener: () => void): void;
  /** Writes the last bytes, if any, and completes the response. */
  end(bytes?: Buffer): void;
  /** Closes the connection, which shows the client that the response is incomplete. */
  destroy(): void;
  /** Responds with an error of this VM; `attempts` tells a peer which requests were counted. */
  fail(error: ServeError, callId: string, attempts?: AttemptCounts): void;
}

/** Writes one response to a client that is connected to this VM. */
export class HttpClientResponse implements ClientResponse {
  readonly #response: ServerResponse;
  readonly #connection: ClientConnection;

  constructor(response: ServerResponse, connection: ClientConnection) {
    this.#response = response;
    this.#connection = connection;
  }

  get isDisconnected(): boolean {
    return this.#connection.isEnded;
  }

  get isHeadSent(): boolean {
    return this.#response.headersSent;
  }

  registerDisconnectListener(listener: () => void): () => void {
    return this.#connection.registerEndListener(listener);
  }

  writeHead(status: number, headers: readonly string[]): void {
    this.#response.writeHead(status, headers as string[]);
  }

  write(bytes: Buffer): boolean {
    return this.#response.write(bytes);
  }

  registerDrainListener(listener: () => void): void {
    this.#response.once("drain", listener);
  }

  end(bytes?: Buffer): void {
    if (bytes === undefined) this.#response.end();
    else this.#response.end(bytes);
  }

  destroy(): void {
    // A client of HTTP/1.0 takes the end of the connection for that of the body. Only a reset shows that
    // it is cut off.
    const { useChunkedEncodingByDefault, socket } = this.#response;
    if (useChunkedEncodingByDefault) this.#response.destroy();
    else socket?.resetAndDestroy();
  }

  fail(error: ServeError, callId: string): void {
    if (this.isDisconnected || this.#response.headersSent) return;
    const body = Buffer.from(JSON.stringify(buildErrorBody(error, callId)));
    this.#response.statusCode = error.status;
    this.#response.setHeader("content-type", "application/json");
    this.#response.setHeader("content-length", body.length);
    if (error.retryAfterMs > 0) {
      this.#response.setHeader(
        "retry-after",
        formatRetryAfter(error.retryAfterMs),
      );
    }
    this.#response.end(body);
  }
}

/**
 * Formats a delay in seconds, rounded up to hundredths: with 0, a client would return at once to a VM
 * that asks it to wait for some milliseconds.
 */
export function formatRetryAfter(delayMs: number): string {
  return (Math.ceil(delayMs / RETRY_AFTER_STEP_MS) / STEPS_PER_SECOND)
    .toFixed(2);
}
