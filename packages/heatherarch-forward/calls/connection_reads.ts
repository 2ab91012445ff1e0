/**
 * Closes the connection of a target that sends bytes that are part of no response.
 *
 * The parser of undici skips some bytes without handing anything on: empty lines before a response, the
 * reason phrase, spaces before the value of a header or trailer, leading zeros of the size of a chunk and
 * its extension. The limits on heads and bodies count what is handed on, so a connection is read on as fast
 * as such bytes arrive. This class compares what was read from the connection with what was handed on,
 * whatever the parser skips. Silence doesn't count, however long it is.
 *
 * @module
 */
import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import { errors } from "undici";

/** Published by undici right before it writes a request, in the turn in which it starts it. */
const BEFORE_WRITE = "undici:client:sendHeaders";

/**
 * Bytes that may be read beyond those of responses. Bytes that wait in a socket whose response is not read
 * at the moment are among them, at most three reads of 64 KiB.
 */
const MAX_SKIPPED_BYTES = 256 * 1024;
/** Bytes that may be read for each byte of a body: the framing of small chunks is longer than they are. */
const MAX_READ_PER_BODY_BYTE = 32;

type ReadsListener = (reads: ConnectionReads) => void;

const readsBySocket = new WeakMap<Socket, ConnectionReads>();
/** Listener of the exchange that has started last and whose request is not written yet. */
let startedListener: ReadsListener | undefined;
let isWatching = false;

/** What was read from one connection, against what its exchanges got of it. */
export class ConnectionReads {
  readonly #socket: Socket;
  #readBytes: number;
  #skippedBytes = 0;
  #endListener: (() => void) | undefined;

  constructor(socket: Socket) {
    this.#socket = socket;
    this.#readBytes = socket.bytesRead;
    socket.prependListener("end", () => this.#endListener?.());
    // undici listens already, so it has parsed what is counted here unless the response is not read.
    socket.on("readable", () => this.#check());
  }

  /** Sets or removes the listener that is called before undici handles the end of the connection. */
  setEndListener(listener: (() => void) | undefined): void {
    this.#endListener = listener;
  }

  /** Records the head of a response, whose length the parser limits. */
  recordHead(): void {
    this.#readBytes = this.#socket.bytesRead;
    this.#skippedBytes = 0;
  }

  /** Records a part of a body. */
  recordBody(bytes: number): void {
    this.#countRead();
    const remaining = this.#skippedBytes - bytes * MAX_READ_PER_BODY_BYTE;
    this.#skippedBytes = Math.max(0, remaining);
  }

  #check(): void {
    this.#countRead();
    if (this.#skippedBytes <= MAX_SKIPPED_BYTES) return;
    this.#socket.destroy(
      new errors.SocketError(
        `${this.#skippedBytes} bytes that are part of no response`,
      ),
    );
  }

  #countRead(): void {
    const { bytesRead } = this.#socket;
    this.#skippedBytes += bytesRead - this.#readBytes;
    this.#readBytes = bytesRead;
  }
}

/**
 * Calls a listener with the reads of the connection to which the request that undici is starting is about to
 * be written.
 */
export function registerStart(listener: ReadsListener): void {
  watchStarts();
  startedListener = listener;
  // A request that is not written in this turn, as undici rejects it, has no connection.
  queueMicrotask(() => {
    if (startedListener === listener) startedListener = undefined;
  });
}

function watchStarts(): void {
  if (isWatching) return;
  isWatching = true;
  subscribe(BEFORE_WRITE, (message) => {
    const listener = startedListener;
    startedListener = undefined;
    listener?.(findReads((message as { socket: Socket }).socket));
  });
}

function findReads(socket: Socket): ConnectionReads {
  let reads = readsBySocket.get(socket);
  if (reads === undefined) {
    reads = new ConnectionReads(socket);
    readsBySocket.set(socket, reads);
  }
  return reads;
}
