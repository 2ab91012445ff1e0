/**
 * Limits the connections of an HTTP server and the requests that clients send ahead of their responses.
 *
 * A client that sends requests without reading the responses makes the server keep all of them: Node.js
 * parses each request of what it has read, and a response waits for those before it. Such a connection is
 * closed.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as TlsServer } from "node:https";
import type { Socket } from "node:net";

/** What a client exceeded. */
export type ExceededLimit = "connections" | "requestsAhead" | "openRequests";

/** Limits of one server. */
export interface ConnectionLimits {
  readonly maxConnections: number;
  /** Requests of one connection without a complete response. */
  readonly maxRequestsAhead: number;
  /** Requests of all connections without a complete response. */
  readonly maxOpenRequests?: number;
}

/** Options of {@linkcode ConnectionLimiter}. */
export interface ConnectionLimiterOptions {
  readonly server: Server;
  readonly limits: ConnectionLimits;
  /** Called before a connection is closed. */
  readonly onExceeded?: (limit: ExceededLimit) => void;
}

/**
 * What becomes of a request:
 * - `admitted`: it may be served.
 * - `closed`: its connection is closed. It must not be served.
 * - `overloaded`: too many requests are open. It should be rejected.
 */
export type RequestDecision = "admitted" | "closed" | "overloaded";

interface ConnectionState {
  /** Requests without a complete response; none once the socket has closed. */
  open: number;
  /** The last request whose head was read, while requests are open. */
  last: IncomingMessage | undefined;
}

/** What a parser's listener for requests returns to end the parsing of what has been read. */
const STOP_PARSING = 2;

/** Limits the connections of one server. */
export class ConnectionLimiter {
  readonly #options: ConnectionLimiterOptions;
  /**
   * Connections that this limiter has not closed, ordered by the last head or the last end of a response, the
   * oldest first.
   */
  readonly #connections = new Map<Socket, ConnectionState>();
  /** Counts the requests of a closed connection until its socket has closed: until then, Node.js keeps them. */
  #openRequests = 0;

  constructor(options: ConnectionLimiterOptions) {
    this.#options = options;
    const { server } = options;
    const event = server instanceof TlsServer
      ? "secureConnection"
      : "connection";
    server.on(event, (socket: Socket) => this.#addConnection(socket));
  }

  /** Number of open connections. */
  get connections(): number {
    return this.#connections.size;
  }

  /** Records a request whose head was read, and decides what becomes of it. */
  admit(request: IncomingMessage, response: ServerResponse): RequestDecision {
    const { socket } = request;
    const state = this.#connections.get(socket);
    // Node.js emits the requests that it has read behind one whose connection was closed.
    if (state === undefined || socket.destroyed) return "closed";
    const { maxRequestsAhead, maxOpenRequests = Infinity } =
      this.#options.limits;
    if (state.open >= maxRequestsAhead) {
      this.#close(socket, "requestsAhead");
      return "closed";
    }
    this.#recordRequest(socket, state, request, response);
    if (this.#openRequests <= maxOpenRequests) return "admitted";
    return this.#decideBeyondOpen(socket);
  }

  #addConnection(socket: Socket): void {
    if (this.#connections.size >= this.#options.limits.maxConnections) {
      const stalest = this.#findStalest();
      this.#close(stalest ?? socket, "connections");
      if (stalest === undefined) return;
    }
    const state: ConnectionState = { open: 0, last: undefined };
    this.#connections.set(socket, state);
    socket.once("close", () => {
      this.#connections.delete(socket);
      this.#openRequests -= state.open;
      state.open = 0;
    });
  }

  #recordRequest(
    socket: Socket,
    state: ConnectionState,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    state.open++;
    state.last = request;
    this.#openRequests++;
    this.#markRecent(socket, state);
    response.once("close", () => {
      if (state.open === 0) return;
      state.open--;
      this.#openRequests--;
      if (state.open === 0) state.last = undefined;
      if (this.#connections.has(socket)) this.#markRecent(socket, state);
    });
  }

  /**
   * A client that sends ahead gives way before those that wait for each response, and of these the one that
   * has been in the middle of its request for longest.
   */
  #decideBeyondOpen(socket: Socket): RequestDecision {
    const closing = this.#findMostAhead() ?? this.#findIncomplete(socket);
    if (closing === undefined) return "overloaded";
    this.#close(closing, "openRequests");
    return closing === socket ? "closed" : "admitted";
  }

  /** Finds the connection with most requests ahead of their responses; undefined if none has any. */
  #findMostAhead(): Socket | undefined {
    let most: Socket | undefined;
    let mostOpen = 1;
    for (const [socket, { open }] of this.#connections) {
      if (open <= mostOpen) continue;
      most = socket;
      mostOpen = open;
    }
    return most;
  }

  /** Finds the connection whose only request has been incomplete for longest, besides `newest`. */
  #findIncomplete(newest: Socket): Socket | undefined {
    for (const [socket, state] of this.#connections) {
      if (socket !== newest && isIncomplete(state)) return socket;
    }
    return undefined;
  }

  /** Finds the connection that has been without progress for longest and has no request that can be served. */
  #findStalest(): Socket | undefined {
    for (const [socket, state] of this.#connections) {
      if (state.open === 0 || isIncomplete(state)) return socket;
    }
    return undefined;
  }

  #markRecent(socket: Socket, state: ConnectionState): void {
    this.#connections.delete(socket);
    this.#connections.set(socket, state);
  }

  #close(socket: Socket, limit: ExceededLimit): void {
    this.#options.onExceeded?.(limit);
    this.#connections.delete(socket);
    stopParser(socket);
    socket.destroy();
  }
}

/** Whether the only open request of a connection has not arrived whole. */
function isIncomplete({ open, last }: ConnectionState): boolean {
  return open === 1 && last?.complete === false;
}

/**
 * Stops the parser at the next request of what has been read. Node.js has no public way to do so, and keeps
 * the requests until the close of the socket, which comes after other sockets have been read: with hundreds
 * of such clients, more than the heap holds.
 */
function stopParser(socket: Socket): void {
  const { parser } = socket as { parser?: { onIncoming?: unknown } | null };
  if (parser?.onIncoming) parser.onIncoming = () => STOP_PARSING;
}
