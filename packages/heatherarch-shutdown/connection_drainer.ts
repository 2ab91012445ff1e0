/**
 * Closes the connections of an HTTP server's clients while it shuts down, so that each request that has been
 * read gets a response.
 *
 * The last response of a connection tells its client that the connection closes. A client may have sent
 * another request before it has read that, so the connection is read for a moment longer and such requests
 * are refused. A connection whose response began before the shutdown can't tell its client; it is closed
 * once it has been idle for that moment.
 *
 * @module
 */
import type {
  IncomingMessage,
  OutgoingHttpHeader,
  Server,
  ServerResponse,
} from "node:http";
import { Server as TlsServer } from "node:https";
import { Server as NetServer, type Socket } from "node:net";
import type { Clock } from "heatherarch-core";

/** Options of {@linkcode ConnectionDrainer}. */
export interface ConnectionDrainerOptions {
  readonly server: Server;
  readonly clock: Clock;
  /** Whether the next response of a connection is its last one. */
  readonly isStopping: () => boolean;
  /** Whether nothing is accepted any more, as the process is about to end. */
  readonly isEnding: () => boolean;
  /** Builds the body of the refusal of a request that was read behind the last one of its connection. */
  readonly buildRefusal: (request: IncomingMessage) => LateRefusal;
  /** Time for which a connection that closes is read, milliseconds. */
  readonly lingerMs?: number;
}

/** The response to a request that came too late on its connection. It has not run. */
export interface LateRefusal {
  readonly status: number;
  readonly retryAfter: string;
  readonly body: string;
}

/** The requests of one connection. */
interface ConnectionState {
  readonly socket: Socket;
  /** Requests whose responses have not ended. */
  open: number;
  /** The last request whose head was read. */
  last: IncomingMessage | undefined;
  /** The response to the last request that was admitted. */
  lastResponse: ServerResponse | undefined;
  /** The request whose response tells the client that the connection closes. */
  final: IncomingMessage | undefined;
  /** Requests behind the final one that have not been refused. */
  readonly behind: IncomingMessage[];
  /** Whether the final response has ended. */
  isFinished: boolean;
  /** Monotonic time since which no request is open. */
  idleSinceMs: number;
  /** Bytes that had been read when the connection became idle. */
  idleBytes: number;
}

/** A request that was read. */
interface RequestState {
  readonly connection: ConnectionState;
  /** The response that is due before the one to this request; undefined once it has ended. */
  before: ServerResponse | undefined;
}

/**
 * A client sends a request that it had begun before it read the end of the connection within a round trip
 * between regions, milliseconds.
 */
const LINGER_MS = 150;
const CLOSE_HEADER = ["Connection", "close"] as const;
/** Longest time for which connections that wait are accepted before the listener closes, milliseconds. */
const MAX_ACCEPT_MS = 500;
/** A turn counts as no longer than this, milliseconds: a process that stands still accepts nothing. */
const MAX_TURN_MS = 20;
/** The listener closes after so many turns of the event loop without a connection. */
const ACCEPT_TURNS = 3;

/** The connections of one server. */
export class ConnectionDrainer {
  readonly #options: ConnectionDrainerOptions;
  readonly #connections = new Map<Socket, ConnectionState>();
  /** A request that was destroyed has no socket any more, by which its connection could be found. */
  readonly #requests = new WeakMap<IncomingMessage, RequestState>();
  /** Connections that were accepted so far. */
  #accepted = 0;

  constructor(options: ConnectionDrainerOptions) {
    this.#options = options;
    const { server } = options;
    const event = server instanceof TlsServer
      ? "secureConnection"
      : "connection";
    server.on(event, (socket: Socket) => {
      this.#find(socket);
    });
    server.on("connection", () => this.#accepted++);
  }

  /** Number of open connections. */
  get openConnections(): number {
    return this.#connections.size;
  }

  /**
   * Records a request whose head was read. Returns whether it may be served; otherwise its connection is
   * closing, and the request is refused here.
   */
  admit(request: IncomingMessage, response: ServerResponse): boolean {
    const { socket } = request;
    const state = this.#find(socket);
    state.last = request;
    this.#recordRequest(request, state);
    if (state.final !== undefined) {
      this.#refuseBehind(state, request);
      return false;
    }
    state.open++;
    state.lastResponse = response;
    response.once("close", () => this.#recordEnd(socket, state));
    this.#watchHead(request, response);
    return true;
  }

  /** Finds the response that is due before the one to a request and has not ended. */
  findBefore(request: IncomingMessage): ServerResponse | undefined {
    return this.#requests.get(request)?.before;
  }

  /**
   * Makes a response the last one of its connection, unless its head has been sent or another request has been
   * read behind it.
   */
  closeAfter(request: IncomingMessage, response: ServerResponse): void {
    if (!this.#recordFinal(request, response)) return;
    response.setHeader(CLOSE_HEADER[0], CLOSE_HEADER[1]);
  }

  /** Records that a response is the last one of its connection. Returns whether it is told to say so. */
  #recordFinal(request: IncomingMessage, response: ServerResponse): boolean {
    const state = this.#requests.get(request)?.connection;
    if (state === undefined || state.final !== undefined) return false;
    if (response.headersSent || state.last !== request) return false;
    const { socket } = state;
    state.final = request;
    // The runtime closes the connection in a listener of the same event that was added before.
    response.prependOnceListener("finish", () => {
      state.isFinished = true;
      this.#answerBehind(socket, state);
      if (this.#options.isStopping() && canLinger(request)) {
        this.#delayClose(socket);
      }
    });
    return true;
  }

  /** Whether all that was written has been handed to the operating system. */
  get isWritten(): boolean {
    for (const { writableLength } of this.#connections.keys()) {
      if (writableLength > 0) return false;
    }
    return true;
  }

  /**
   * Stops accepting connections once those are accepted that clients have opened already: a late process would
   * reset them. The HTTP server's own method would also close idle ones at once, on which a request may be on
   * its way, and end the checks for slow heads.
   */
  async closeListener(): Promise<void> {
    let idleTurns = 0;
    let waitedMs = 0;
    while (
      idleTurns < ACCEPT_TURNS && waitedMs < MAX_ACCEPT_MS &&
      !this.#options.isEnding()
    ) {
      const accepted = this.#accepted;
      waitedMs += Math.min(await this.#awaitTurn(), MAX_TURN_MS);
      idleTurns = accepted === this.#accepted ? idleTurns + 1 : 0;
    }
    NetServer.prototype.close.call(this.#options.server);
  }

  /**
   * Waits for a turn of the event loop, in which at least one waiting connection is accepted. Resolves with
   * how long it took, milliseconds.
   */
  async #awaitTurn(): Promise<number> {
    const { clock } = this.#options;
    const startedAtMs = clock.readMonotonicMs();
    await new Promise((resolve) => setImmediate(resolve));
    return clock.readMonotonicMs() - startedAtMs;
  }

  /** Closes the connections that have had no request for a moment. */
  closeIdle(): void {
    const { clock, lingerMs = LINGER_MS } = this.#options;
    const idleBeforeMs = clock.readMonotonicMs() - lingerMs;
    for (const [socket, state] of this.#connections) {
      const isIdle = state.open === 0 && state.idleSinceMs <= idleBeforeMs;
      const hasPartialHead = socket.bytesRead > state.idleBytes;
      if (isIdle && !hasPartialHead) socket.destroySoon();
    }
  }

  #find(socket: Socket): ConnectionState {
    let state = this.#connections.get(socket);
    if (state !== undefined) return state;
    state = {
      socket,
      open: 0,
      last: undefined,
      lastResponse: undefined,
      final: undefined,
      behind: [],
      isFinished: false,
      idleSinceMs: this.#options.clock.readMonotonicMs(),
      idleBytes: 0,
    };
    this.#connections.set(socket, state);
    socket.once("close", () => this.#connections.delete(socket));
    return state;
  }

  /**
   * Records the response before a request until it has ended. Kept for longer, it would hold its own request
   * and so all that came before on the connection, for as long as the connection is open.
   */
  #recordRequest(request: IncomingMessage, state: ConnectionState): void {
    const last = state.lastResponse;
    const before = last === undefined || last.writableFinished
      ? undefined
      : last;
    const requestState: RequestState = { connection: state, before };
    this.#requests.set(request, requestState);
    before?.once("finish", () => {
      requestState.before = undefined;
    });
  }

  #recordEnd(socket: Socket, state: ConnectionState): void {
    state.open--;
    if (state.open > 0) return;
    state.idleSinceMs = this.#options.clock.readMonotonicMs();
    state.idleBytes = socket.bytesRead;
  }

  /** Decides as late as possible whether a response is the last one: a request may follow it until then. */
  #watchHead(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const writeHead = response.writeHead.bind(response) as (
      status: number,
      ...rest: (string | OutgoingHttpHeader)[]
    ) => ServerResponse;
    response.writeHead = (status: number, ...rest: never[]): ServerResponse => {
      const headers: unknown = rest.at(-1);
      if (!this.#options.isStopping()) return writeHead(status, ...rest);
      if (!Array.isArray(headers)) this.closeAfter(request, response);
      else if (this.#recordFinal(request, response)) {
        // Headers that are set before a list of headers would leave one of each name in it.
        return writeHead(status, [...headers, ...CLOSE_HEADER] as never);
      }
      return writeHead(status, ...rest);
    };
  }

  /** Refuses a request once it has been read and the last response has ended. */
  #refuseBehind(state: ConnectionState, request: IncomingMessage): void {
    const { socket } = request;
    state.behind.push(request);
    request.once("end", () => this.#answerBehind(socket, state));
    request.resume();
  }

  /** Writes the responses of the requests behind the last one that have been read, in their order. */
  #answerBehind(socket: Socket, { behind, isFinished }: ConnectionState): void {
    if (!isFinished) return;
    // The runtime discards the responses behind the last one.
    while (behind[0]?.complete && socket.writable) {
      const request = behind.shift() as IncomingMessage;
      const refusal = this.#options.buildRefusal(request);
      socket.write(formatRefusal(refusal, request.method !== "HEAD"));
    }
  }

  /** Reads the connection for a moment before it is closed, and refuses what comes meanwhile. */
  #delayClose(socket: Socket): void {
    const { lingerMs = LINGER_MS } = this.#options;
    const destroySoon = socket.destroySoon.bind(socket);
    let timer: NodeJS.Timeout | undefined;
    // The runtime calls this after each response that closes the connection, also after refusals.
    socket.destroySoon = () => {
      timer ??= setTimeout(destroySoon, lingerMs);
    };
    socket.once("close", () => clearTimeout(timer));
  }
}

/** Whether the client can tell the end of a response from that of its connection. */
function canLinger({ httpVersionMajor, httpVersionMinor }: IncomingMessage) {
  return httpVersionMajor > 1 || httpVersionMinor > 0;
}

function formatRefusal(
  { status, retryAfter, body }: LateRefusal,
  hasBody: boolean,
): string {
  const head = [
    `HTTP/1.1 ${status} Service Unavailable`,
    "Content-Type: application/json",
    `Content-Length: ${Buffer.byteLength(body)}`,
    `Retry-After: ${retryAfter}`,
    "Connection: close",
  ];
  return `${head.join("\r\n")}\r\n\r\n${hasBody ? body : ""}`;
}
