/**
 * Tells requests that their clients send too slowly from requests that this process reads too late.
 *
 * `node:http` checks from a timer whether a request is overdue. After a stall of the process, that timer
 * runs before the sockets are read, so a request that arrived in time is reported as overdue. The parser
 * stays attached to the connection, so the request would still be read, and run, after its 408.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** The overdue requests of one server. */
export class LateRequests {
  /** The last request of each connection, which may not be read completely. */
  readonly #last = new WeakMap<Socket, IncomingMessage>();
  readonly #refused = new WeakSet<Socket>();

  /** Records a request whose head has been read. */
  recordHead(request: IncomingMessage): void {
    this.#last.set(request.socket, request);
  }

  /** Whether a connection was refused, so that no request of it may be run any more. */
  isRefused(socket: Socket): boolean {
    return this.#refused.has(socket);
  }

  /** Refuses all requests of a connection that are not read completely. */
  refuse(socket: Socket): void {
    this.#refused.add(socket);
  }

  /** Whether a request of the connection was read completely, so that it may have been run. */
  hasRead(socket: Socket): boolean {
    return this.#last.get(socket)?.complete === true;
  }

  /**
   * Reads what has arrived on a connection whose request is reported as overdue. Returns whether that
   * request is complete then.
   */
  async readArrived(socket: Socket): Promise<boolean> {
    const before = this.#last.get(socket);
    const isEarlier = before?.complete === true;
    let bytesRead: number;
    do {
      bytesRead = socket.bytesRead;
      await waitForReads();
    } while (socket.bytesRead > bytesRead);
    const request = this.#last.get(socket);
    const isOverdue = request !== before || !isEarlier;
    return isOverdue && request?.complete === true;
  }
}

/** Waits until the event loop has read the sockets that have bytes: immediates run after these reads. */
function waitForReads(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
