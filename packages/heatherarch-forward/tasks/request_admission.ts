/**
 * Decides which requests of a client's connection may be served, and when a connection that is refused
 * may be closed.
 *
 * `node:http` checks from a timer whether a request is overdue. After a stall of the process, that timer
 * runs before the sockets are read, so a request that arrived in time is reported as overdue. The parser
 * stays attached to the connection, so the request would still be read, and run, after its 408.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** The requests of one connection. */
interface ConnectionRequests {
  /** The last request whose head was read. Its body may be incomplete. */
  last: IncomingMessage | undefined;
  /** No request that is not being served yet may be. */
  isRefused: boolean;
  /** Requests that are being served: their responses have not ended. */
  open: number;
}

/** Turns of the event loop in which a connection is read whose request is reported as overdue. */
const MAX_READ_TURNS = 100;

/** Admission of the requests of one server. */
export class RequestAdmission {
  readonly #connections = new WeakMap<Socket, ConnectionRequests>();

  /** Records a request of a connection whose head has been read. */
  recordHead(socket: Socket, request: IncomingMessage): void {
    this.#find(socket).last = request;
  }

  /** Whether further requests of the connection must not be served. */
  isRefused(socket: Socket): boolean {
    return this.#find(socket).isRefused;
  }

  /** Refuses all requests of a connection that are not being served. */
  refuse(socket: Socket): void {
    this.#find(socket).isRefused = true;
  }

  /** Records that a request is being served. Returns a function to be called when its response ended. */
  beginCall(socket: Socket): () => void {
    const requests = this.#find(socket);
    requests.open++;
    return () => {
      requests.open--;
      if (requests.isRefused && requests.open === 0) socket.destroySoon();
    };
  }

  /** Whether a request of the connection is being served, so that what is written next is its response. */
  isServing(socket: Socket): boolean {
    return this.#find(socket).open > 0;
  }

  /**
   * Reads what has arrived on a connection whose request is reported as overdue. Returns whether that
   * request is complete then: the last one, or the next one if the last one is complete already.
   */
  async readArrived(socket: Socket): Promise<boolean> {
    const requests = this.#find(socket);
    const earlier = requests.last?.complete ? requests.last : undefined;
    let bytesRead = -1;
    // A client that sends a byte in each turn must not put its end off.
    for (let turn = 0; turn < MAX_READ_TURNS; turn++) {
      if (socket.bytesRead === bytesRead) break;
      bytesRead = socket.bytesRead;
      await waitForReads();
    }
    return requests.last !== earlier && requests.last?.complete === true;
  }

  #find(socket: Socket): ConnectionRequests {
    let requests = this.#connections.get(socket);
    if (requests === undefined) {
      requests = {
        last: undefined,
        isRefused: false,
        open: 0,
      };
      this.#connections.set(socket, requests);
    }
    return requests;
  }
}

/** Waits until the event loop has read the sockets that have bytes: immediates run after these reads. */
function waitForReads(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
