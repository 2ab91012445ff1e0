/**
 * Ends connections of clients that send bytes that are part of no request. The parser of Node.js skips empty
 * lines before a request, leading zeros of the size of a chunk and spaces before the value of a header or
 * trailer without handing anything on, so no limit counts them, and they put the idle timeout off.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { ServeError } from "heatherarch-core";

/** Interval between checks of all connections, milliseconds. */
const CHECK_INTERVAL_MS = 250;
/** Bytes that may be read beyond those of bodies: a head, and what waits in the socket. */
const MAX_SKIPPED_BYTES = 256 * 1024;
/** Bytes that may be read for each byte of a body: the framing of small chunks is longer than they are. */
const MAX_READ_PER_BODY_BYTE = 32;

interface ConnectionState {
  /** Requests without a complete response. */
  open: number;
  /** Bytes that had been read when the connection was last without a request. */
  idleBytes: number;
}

/** A body that is being read. */
export interface BodyReads {
  /** Rejects once too many bytes of the body have been skipped. */
  readonly exceeded: Promise<never>;
  /** Bytes that were read beside those of the body; the head counts too. */
  readonly framingBytes: number;
  recordBody(bytes: number): void;
  stop(): void;
}

/** Compares what is read from the connections of a server with what its requests get. */
export class ClientReads {
  readonly #connections = new Map<Socket, ConnectionState>();
  readonly #bodyChecks = new Set<() => void>();
  readonly #onExcess: (bytes: number) => void;

  /** Calls `onExcess` with the number of bytes before it closes a connection without a request. */
  constructor(server: Server, onExcess: (bytes: number) => void) {
    this.#onExcess = onExcess;
    server.on("connection", (socket) => this.#addConnection(socket));
    server.on(
      "request",
      (request, response) => this.#recordRequest(request, response),
    );
    const timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS).unref();
    server.once("close", () => clearInterval(timer));
  }

  /** Watches the body of a request until it is stopped; undefined if it is not chunked and has no framing. */
  watchBody({ socket, headers }: IncomingMessage): BodyReads | undefined {
    if (headers["transfer-encoding"] === undefined) return undefined;
    const startBytes = socket.bytesRead;
    // What was read with the head belongs to the body as well.
    const headStartBytes = this.#connections.get(socket)?.idleBytes ??
      startBytes;
    let bodyBytes = 0;
    let check = (): void => undefined;
    const exceeded = new Promise<never>((_, reject) => {
      check = () => {
        const read = socket.bytesRead - startBytes;
        const skipped = read - bodyBytes * MAX_READ_PER_BODY_BYTE;
        if (skipped <= MAX_SKIPPED_BYTES) return;
        reject(
          new ServeError("payloadTooLarge", `${skipped} bytes beside the body`),
        );
      };
    });
    this.#bodyChecks.add(check);
    return {
      exceeded,
      get framingBytes() {
        return socket.bytesRead - headStartBytes - bodyBytes;
      },
      recordBody: (bytes) => bodyBytes += bytes,
      stop: () => this.#bodyChecks.delete(check),
    };
  }

  #addConnection(socket: Socket): void {
    this.#connections.set(socket, { open: 0, idleBytes: socket.bytesRead });
    socket.once("close", () => this.#connections.delete(socket));
  }

  #recordRequest({ socket }: IncomingMessage, response: ServerResponse): void {
    const state = this.#connections.get(socket);
    if (state === undefined) return;
    state.open++;
    response.once("close", () => {
      state.open--;
      state.idleBytes = socket.bytesRead;
    });
  }

  #check(): void {
    for (const check of this.#bodyChecks) check();
    for (const [socket, { open, idleBytes }] of this.#connections) {
      if (open > 0) continue;
      const skipped = socket.bytesRead - idleBytes;
      if (skipped <= MAX_SKIPPED_BYTES) continue;
      this.#onExcess(skipped);
      socket.destroy();
    }
  }
}
