/**
 * Calls to peers that wait for a reply.
 *
 * @module
 */
import type { Link } from "./link.ts";
import type { MeshMessage } from "./messages.ts";

/** A call that failed or got no reply in time. A call without a reply may have taken effect. */
export class MeshCallError extends Error {
  constructor(detail: string) {
    super(`mesh call: ${detail}`);
    this.name = "MeshCallError";
  }
}

interface PendingCall {
  readonly resolve: (body: unknown) => void;
  readonly reject: (error: Error) => void;
  readonly timer: NodeJS.Timeout;
}

/** The calls of one VM that have no reply yet. */
export class PendingCalls {
  readonly #calls = new Map<number, PendingCall>();
  #nextId = 1;

  /** Sends a call. Rejects with {@linkcode MeshCallError} if it fails or gets no reply in time. */
  send(
    link: Link,
    method: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const id = this.#nextId++;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.#calls.delete(id);
        const peer = link.peer?.id ?? "a peer";
        reject(new MeshCallError(`${method} at ${peer} timed out`));
      }, timeoutMs);
      this.#calls.set(id, { resolve, reject, timer });
      link.send({ kind: "call", id, method, body });
    });
  }

  /** Settles the call that a reply belongs to. A reply after the timeout is ignored. */
  settle(reply: Extract<MeshMessage, { kind: "reply" }>): void {
    const pending = this.#calls.get(reply.id);
    if (pending === undefined) return;
    this.#calls.delete(reply.id);
    clearTimeout(pending.timer);
    if (reply.ok) pending.resolve(reply.body);
    else pending.reject(new MeshCallError(String(reply.body)));
  }
}
