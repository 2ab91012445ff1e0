/**
 * The caller's end of one call: its answer is written here, once.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import { buildErrorBody, type ServeError } from "heatherarch-core";

const MS_PER_SECOND = 1000;

/** Writes one answer to a client. */
export class ClientResponse {
  readonly #response: ServerResponse;
  readonly #goneListeners = new Set<() => void>();
  #gone = false;

  constructor(response: ServerResponse) {
    this.#response = response;
    response.on("close", () => {
      if (response.writableFinished || this.#gone) return;
      this.#gone = true;
      for (const listener of this.#goneListeners) listener();
    });
  }

  /** The client closed its connection before the answer was out. */
  get isDisconnected(): boolean {
    return this.#gone;
  }

  /** Whether the head of an answer has been written. */
  get isHeadSent(): boolean {
    return this.#response.headersSent;
  }

  /** Registers a listener for the client's leaving and returns its undo. */
  registerDisconnectListener(listener: () => void): () => void {
    this.#goneListeners.add(listener);
    return () => {
      this.#goneListeners.delete(listener);
    };
  }

  /** Writes the head of a target's answer; one without length ends with the connection. */
  writeHead(
    status: number,
    headers: readonly string[],
    options: { endsConnection?: boolean } = {},
  ): void {
    if (options.endsConnection) {
      this.#response.useChunkedEncodingByDefault = false;
      this.#response.setHeader("Connection", "close");
    }
    this.#response.writeHead(status, headers as string[]);
  }

  /** Writes bytes; false where the caller should wait for {@linkcode registerDrainListener}. */
  write(bytes: Buffer): boolean {
    return this.#response.write(bytes);
  }

  /** Calls `listener` once the client has taken what was written. */
  registerDrainListener(listener: () => void): void {
    this.#response.once("drain", listener);
  }

  end(bytes?: Buffer): void {
    if (bytes === undefined) this.#response.end();
    else this.#response.end(bytes);
  }

  /** Ends the connection so that the answer is seen to be incomplete. */
  destroy(): void {
    this.#response.destroy();
  }

  /** Answers with an error of this VM's own. */
  fail(error: ServeError, callId: string): void {
    if (this.#gone || this.#response.headersSent) return;
    const body = Buffer.from(JSON.stringify(buildErrorBody(error, callId)));
    this.#response.statusCode = error.status;
    this.#response.setHeader("content-type", "application/json");
    this.#response.setHeader("content-length", body.length);
    if (error.retryAfterMs > 0) {
      const seconds = (error.retryAfterMs / MS_PER_SECOND).toFixed(2);
      this.#response.setHeader("retry-after", seconds);
    }
    this.#response.end(body);
  }
}
