/**
 * Responds to requests whose head could not be read.
 *
 * @module
 */
import type { Socket } from "node:net";
import { buildErrorBody, createId, ServeError } from "heatherarch-core";

/** Responds to a malformed, oversized or slow request head, and closes the connection. */
export function handleClientError(
  error: Error & { code?: string },
  socket: Socket,
): void {
  if (!socket.writable || socket.bytesWritten > 0) {
    socket.destroy();
    return;
  }
  const kind = error.code === "HPE_HEADER_OVERFLOW"
    ? "headersTooLarge"
    : error.code === "ERR_HTTP_REQUEST_TIMEOUT"
    ? "requestTimeout"
    : "badRequest";
  const failure = new ServeError(kind, "the request could not be read");
  const body = JSON.stringify(buildErrorBody(failure, createId("unread")));
  socket.end(
    `HTTP/1.1 ${failure.status} Error\r\ncontent-type: application/json\r\n` +
      `connection: close\r\ncontent-length: ${
        Buffer.byteLength(body)
      }\r\n\r\n${body}`,
  );
}
