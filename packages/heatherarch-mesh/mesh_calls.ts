/**
 * Calls over links: the calls of this process that wait for a reply, and the handlers for calls
 * from peers.
 *
 * @module
 */
import { toServeError } from "heatherarch-core";
import type { Link, LinkIdentity } from "./link.ts";
import type { MeshMessage } from "./messages.ts";
import { PendingCalls } from "./pending_calls.ts";

/** Handles the calls of one method and returns the body of the reply. */
export type CallHandler = (
  body: unknown,
  from: LinkIdentity,
) => Promise<unknown>;

/** The calls of one process. */
export class MeshCalls {
  readonly #handlers = new Map<string, CallHandler>();
  readonly #pending = new PendingCalls();

  /** Registers the handler of a method. Returns its removal. */
  register(method: string, handler: CallHandler): () => void {
    this.#handlers.set(method, handler);
    return () => {
      this.#handlers.delete(method);
    };
  }

  /** Calls a method of the peer at the other end of a link. */
  send(
    link: Link,
    method: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    return this.#pending.send(link, method, body, timeoutMs);
  }

  /** Settles the call that a reply belongs to. */
  settle(reply: Extract<MeshMessage, { kind: "reply" }>): void {
    this.#pending.settle(reply);
  }

  /** Handles a call from a peer and sends the reply. */
  async handleCall(
    link: Link,
    peer: LinkIdentity,
    call: Extract<MeshMessage, { kind: "call" }>,
  ): Promise<void> {
    const { id, method, body } = call;
    try {
      const handler = this.#handlers.get(method);
      if (handler === undefined) {
        throw new Error(`unknown method ${method}`);
      }
      const reply = await handler(body, peer);
      link.send({ kind: "reply", id, ok: true, body: reply });
    } catch (error) {
      link.send({
        kind: "reply",
        id,
        ok: false,
        body: toServeError(error).message,
      });
    }
  }
}
