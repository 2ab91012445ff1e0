/**
 * A client's connection as `node:http` serves it, without a network: responses leave in the order of their
 * requests, and those behind the last one of the connection are discarded.
 *
 * @module
 */
import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";

/** Response to one request. */
export class SimulatedResponse extends EventEmitter {
  headersSent = false;
  status: number | undefined;
  isLast = false;
  readonly #onEnd: () => void;

  constructor(onEnd: () => void) {
    super();
    this.#onEnd = onEnd;
  }

  setHeader(name: string, value: string): void {
    if (name === "Connection" && value === "close") this.isLast = true;
  }

  writeHead(status: number, headers: Record<string, string | number> = {}) {
    this.status = status;
    this.headersSent = true;
    if (headers["Connection"] === "close") this.isLast = true;
    return this;
  }

  end(): void {
    this.#onEnd();
  }
}

interface Exchange {
  readonly id: number;
  readonly response: SimulatedResponse;
  isEnded: boolean;
}

/** Options of {@linkcode SimulatedConnection}. */
export interface SimulatedConnectionOptions {
  /** Called when the client receives a response. */
  readonly onResponse: (id: number, status: number) => void;
  /** Serves a request that was read. */
  readonly onRequest: (
    id: number,
    request: IncomingMessage,
    response: ServerResponse,
  ) => void;
  readonly readMs: () => number;
}

/** One connection. */
export class SimulatedConnection extends EventEmitter {
  readonly #options: SimulatedConnectionOptions;
  readonly #exchanges: Exchange[] = [];
  /** Requests whose responses the runtime has discarded, or that came behind the last response. */
  readonly #discarded: number[] = [];
  #isClosed = false;
  /** Time at which the last response was written; undefined before. */
  #lastWrittenAtMs: number | undefined;
  bytesRead = 0;
  readonly writableLength = 0;

  constructor(options: SimulatedConnectionOptions) {
    super();
    this.#options = options;
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  get writable(): boolean {
    return !this.#isClosed;
  }

  /** Whether a response has told the client that the connection closes. */
  get hasLastResponse(): boolean {
    return this.#lastWrittenAtMs !== undefined;
  }

  /** Whether the client has read by `atMs` that the connection closes. */
  isKnownToClose(atMs: number, latencyMs: number): boolean {
    const writtenAtMs = this.#lastWrittenAtMs ?? Infinity;
    return writtenAtMs + latencyMs <= atMs;
  }

  /** Delivers a request. */
  deliver(id: number): void {
    this.bytesRead++;
    const response = new SimulatedResponse(() => {
      exchange.isEnded = true;
      this.#writeResponses();
    });
    const exchange: Exchange = { id, response, isEnded: false };
    if (this.hasLastResponse) this.#discarded.push(id);
    else this.#exchanges.push(exchange);
    const request = Object.assign(new EventEmitter(), {
      socket: this,
      complete: true,
      httpVersionMajor: 1,
      httpVersionMinor: 1,
      resume: () => queueMicrotask(() => request.emit("end")),
    });
    this.#options.onRequest(
      id,
      request as unknown as IncomingMessage,
      response as unknown as ServerResponse,
    );
  }

  /** Writes the response to the first request behind the last response. */
  write(text: string): void {
    const id = this.#discarded.shift();
    const status = Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1]);
    if (id !== undefined) this.#options.onResponse(id, status);
  }

  destroySoon(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.emit("close");
    for (const { response } of this.#exchanges.splice(0)) {
      response.emit("close");
    }
  }

  #writeResponses(): void {
    while (this.#exchanges[0]?.isEnded === true && !this.#isClosed) {
      const { id, response } = this.#exchanges[0];
      this.#exchanges.shift();
      this.#options.onResponse(id, response.status ?? 0);
      if (response.isLast) this.#discardRest();
      response.emit("finish");
      response.emit("close");
      if (response.isLast) this.destroySoon();
    }
  }

  #discardRest(): void {
    this.#lastWrittenAtMs ??= this.#options.readMs();
    const rest = this.#exchanges.splice(0);
    this.#discarded.push(...rest.map(({ id }) => id));
  }
}
