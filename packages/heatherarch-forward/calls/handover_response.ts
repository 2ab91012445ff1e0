/**
 * The response of one call that a peer handed over. It goes back to the peer, which relays it to the
 * client.
 *
 * @module
 */
import type { ServeError } from "heatherarch-core";
import type { HandoverResponder } from "heatherarch-handover";
import type { AttemptCounts } from "../model.ts";
import type { ClientResponse } from "./client_response.ts";
import {
  encodeHandoverFailure,
  encodeHandoverResponse,
} from "./handover_codec.ts";

/** Writes one response to the peer that handed the call over. */
export class HandoverResponse implements ClientResponse {
  readonly #responder: HandoverResponder;
  /** Requests that were counted before the call came here. */
  readonly #earlierAttempts: AttemptCounts;
  #isHeadSent = false;

  constructor(responder: HandoverResponder, earlierAttempts: AttemptCounts) {
    this.#responder = responder;
    this.#earlierAttempts = earlierAttempts;
  }

  get isDisconnected(): boolean {
    return this.#responder.isDisconnected;
  }

  get isHeadSent(): boolean {
    return this.#isHeadSent;
  }

  registerDisconnectListener(listener: () => void): () => void {
    return this.#responder.registerDisconnectListener(listener);
  }

  writeHead(status: number, headers: readonly string[]): void {
    this.#isHeadSent = true;
    this.#responder.sendHead(encodeHandoverResponse({ status, headers }));
  }

  write(bytes: Buffer): boolean {
    return this.#responder.sendBytes(bytes);
  }

  registerDrainListener(listener: () => void): void {
    this.#responder.registerDrainListener(listener);
  }

  end(bytes?: Buffer): void {
    if (bytes !== undefined) this.#responder.sendBytes(bytes);
    this.#responder.end();
  }

  destroy(): void {
    this.#responder.destroy();
  }

  fail(
    error: ServeError,
    _callId: string,
    attempts = this.#earlierAttempts,
  ): void {
    if (this.isDisconnected || this.#isHeadSent) return;
    this.#responder.fail(encodeHandoverFailure(error, attempts));
  }
}
