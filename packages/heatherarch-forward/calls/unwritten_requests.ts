/**
 * Tells which requests failed before the kernel took any of their bytes. Such a request did not reach its
 * target, although its connection was open.
 *
 * undici writes the head and a body that is a buffer, or none, with one write, between two of its diagnostic
 * events. Requests to targets have no other bodies: a part of a stream could be delivered before another one
 * fails. The exchange fails with the error of that write or with a ConnectionResetError that it caused, so
 * the error itself tells which request it is.
 * Node.js first tries that write immediately. If the kernel rejects it, the socket has an error as soon as
 * the write returns, and no part of the request was taken: a write of which a part was taken does not
 * fail. An error that is reported later may follow bytes that were delivered, and proves nothing.
 *
 * @module
 */
import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import { ConnectionResetError } from "heatherarch-core";

/** Published by undici right before it writes a request. */
const BEFORE_WRITE = "undici:client:sendHeaders";
/** Published by undici right after it wrote a request, before anything else runs. */
const AFTER_WRITE = "undici:request:bodySent";
/** Errors of a write to a connection that its peer has reset. Others may follow a part that was taken. */
const RESET_CODES: ReadonlySet<string | undefined> = new Set([
  "ECONNRESET",
  "EPIPE",
]);

interface WriteMessage {
  readonly request: object;
  readonly socket: Socket;
}

/** Errors with which connections failed while a request was written. */
const unwrittenErrors = new WeakSet<Error>();
/** The request that is being written. */
let writing: WriteMessage | undefined;
let isWatching = false;

/** Watches the requests of undici in this process from now on. */
export function watchRequestWrites(): void {
  if (isWatching) return;
  isWatching = true;
  subscribe(BEFORE_WRITE, (message) => {
    writing = message as WriteMessage;
  });
  subscribe(AFTER_WRITE, (message) => {
    if (writing?.request === (message as WriteMessage).request) {
      recordWrite(writing.socket);
    }
    writing = undefined;
  });
}

function recordWrite({ errored }: Socket): void {
  if (errored === null) return;
  const { code, syscall } = errored as NodeJS.ErrnoException;
  if (syscall !== "write" || !RESET_CODES.has(code)) return;
  unwrittenErrors.add(errored);
}

/** Whether a request that failed with this error was not written: none of its bytes left the process. */
export function isUnwritten(error: Error): boolean {
  const cause = error instanceof ConnectionResetError ? error.cause : error;
  return unwrittenErrors.has(cause as Error);
}
