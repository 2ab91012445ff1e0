/**
 * Makes a connection that is reset end with an error, for the HTTP client undici.
 *
 * A response body without a length ends with its connection, and undici takes two kinds of resets for such
 * an end: the error `ECONNRESET`, and the end of the stream, as which Node.js reports a reset that follows
 * unread bytes. Without this module, truncated bodies pass as complete.
 *
 * @module
 */
import type { Socket } from "node:net";

/** Receives an open connection, or the error for which there is none. */
export type ConnectCallback = (
  ...result: [null, Socket] | [Error, null]
) => void;

/** Opens a connection, like the connectors of undici. */
export type Connector<Options> = (
  options: Options,
  callback: ConnectCallback,
) => void;

/** Options of {@linkcode reportResets}. */
export interface ConnectionResetOptions {
  /** Whether a response may be in progress on the connection. By default one always may. */
  readonly isInUse?: () => boolean;
}

/**
 * The error of a connection that was reset. Its cause is the error of the socket, whose code it lacks: by that
 * code undici would take it for an end.
 */
export class ConnectionResetError extends Error {
  constructor(cause: Error) {
    super(cause.message, { cause });
    this.name = "ConnectionResetError";
  }
}

type Emit = (event: string | symbol, ...args: unknown[]) => boolean;

/** Written to test how a stream ended; servers ignore an empty line before a request. */
const RESET_PROBE = "\r\n";

/** Wraps a connector, so that its connections report a reset as an error and never as an end. */
export function reportResets<Options>(
  connector: Connector<Options>,
  { isInUse = () => true }: ConnectionResetOptions = {},
): Connector<Options> {
  return (options, callback) =>
    connector(options, (...result) => {
      const [error, socket] = result;
      if (error === null) watchEnd(socket, isInUse);
      callback(...result);
    });
}

/** Replaces `emit`, since a listener can't keep an event from the listeners of undici. */
function watchEnd(socket: Socket, isInUse: () => boolean): void {
  const emit: Emit = socket.emit.bind(socket);
  const emitChecked: Emit = (event, ...args) => {
    if (event === "error") return emit(event, convertError(args[0] as Error));
    if (event !== "end" || !isInUse()) return emit(event, ...args);
    confirmEnd(socket, () => emit(event));
    return true;
  };
  socket.emit = emitChecked;
}

function convertError(error: Error): Error {
  const { code } = error as NodeJS.ErrnoException;
  return code === "ECONNRESET" ? new ConnectionResetError(error) : error;
}

/**
 * Calls `onConfirmed` if a stream ended in order. After a reset, a write fails and destroys the socket with
 * its error. The write waits for the rest of the request, so a response that ends before its request is
 * written counts only once the connection has taken the whole request. Until then, the timeouts of the
 * response apply.
 */
function confirmEnd(socket: Socket, onConfirmed: () => void): void {
  socket.write(RESET_PROBE, (error) => {
    if (!error) onConfirmed();
  });
}
