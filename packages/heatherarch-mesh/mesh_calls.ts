/**
 * Calls over links: those of this process that wait for their answer, and the answers to peers.
 *
 * @module
 */
import { toServeError } from "heatherarch-core";
import type { Link, LinkIdentity } from "./link.ts";
import type { MeshMessage } from "./messages.ts";
import { PendingCalls } from "./pending_calls.ts";

/** Answers one kind of call from a peer. */
export type CallHandler = (
  body: unknown,
  from: LinkIdentity,
) => Promise<unknown>;

/** The calls of one process. */
export class MeshCalls {
  readonly #handlers = new Map<string, CallHandler>();
  readonly #pending = new PendingCalls();

  /** Registers the handler of a method and returns its undo. */
  register(method: string, handler: CallHandler): () => void {
    this.#handlers.set(method, handler);
    return () => {
      this.#handlers.delete(method);
    };
  }

  /** Calls a method of the peer behind a link. */
  send(
    link: Link,
    method: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    return this.#pending.send(link, method, body, timeoutMs);
  }

  /** A peer's answer has come. */
  settle(reply: Extract<MeshMessage, { kind: "reply" }>): void {
    this.#pending.settle(reply);
  }

  /** Answers a peer's call. */
  async handleCall(
    link: Link,
    peer: LinkIdentity,
    call: Extract<MeshMessage, { kind: "call" }>,
  ): Promise<void> {
    const { id, method, body } = call;
    try {
      const handler = this.#handlers.get(method);
      if (handler === undefined) {
        throw new Error(`no method is named ${method}`);
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
