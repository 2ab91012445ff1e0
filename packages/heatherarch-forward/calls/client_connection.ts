/**
 * The end of a client's connection. All calls on the connection hear of it, also those behind the first
 * of several pipelined requests, whose responses Node.js tells nothing.
 *
 * @module
 */
import type { Socket } from "node:net";

/** One connection of a client. */
export class ClientConnection {
  readonly #listeners = new Set<() => void>();
  #isEnded = false;

  constructor(socket: Socket) {
    // A client that ends its sending side gets no response either: Node.js ends the other side then.
    socket.once("end", () => this.#handleEnd());
    // A reset is read as an error. The close follows after the work of the turn in which it is read.
    socket.on("error", () => this.#handleEnd());
    socket.once("close", () => this.#handleEnd());
  }

  /** Whether the client or this VM has closed the connection. */
  get isEnded(): boolean {
    return this.#isEnded;
  }

  /** Registers a listener for the end of the connection. Returns a function that removes it. */
  registerEndListener(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  #handleEnd(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    for (const listener of this.#listeners) listener();
  }
}
