/**
 * The sender's end of a connection over which calls are handed over, one at a time.
 *
 * @module
 */
import { type Clock, startStallAwareTimer } from "heatherarch-core";
import {
  type DeclineReason,
  dialSocket,
  Link,
  type LinkIdentity,
  type MeshMessage,
} from "heatherarch-mesh";
import type { HandoverPeer } from "./peer_selection.ts";

/** What a peer needs to know to decide whether it takes a call. */
export interface HandoverOffer {
  readonly service: string;
  /** Version of the configuration by which the sender routed the call. */
  readonly configVersion: number;
  /** Whether the sender goes on with the call as well, until the response of the peer begins. */
  readonly isHedge?: boolean;
}

/** Receives the response to a call that was handed over. */
export interface HandoverListener {
  onResponse(head: unknown): void;
  onBytes(bytes: Buffer): void;
  onEnd(): void;
  /** The peer ended the call without a response of a target. */
  onFailure(failure: unknown): void;
  /** The connection was lost. The call may have run. */
  onLost(reason: string): void;
}

/** Options of {@linkcode HandoverConnection}. */
export interface HandoverConnectionOptions {
  readonly self: LinkIdentity;
  readonly sharedKey: string;
  readonly clock: Clock;
  readonly peer: HandoverPeer;
  /** Called when the connection is free for another call. */
  readonly onIdle: (connection: HandoverConnection) => void;
  readonly onClose: (connection: HandoverConnection) => void;
}

/** Result of an offer; `lost` if the peer did not reply. */
export type OfferReply = "accepted" | DeclineReason | "lost";

/** Largest part of a body in one message. */
export const MAX_PART_BYTES = 64 * 1024;
/** Messages are parts of bodies, and heads that the limits on clients bound. */
export const MAX_HANDOVER_FRAME_BYTES = 4 * 1024 * 1024;

/** A connection to one peer. */
export class HandoverConnection {
  readonly #options: HandoverConnectionOptions;
  readonly #link: Link;
  readonly #ready: Promise<boolean>;
  #resolveReady!: (isReady: boolean) => void;
  #resolveOffer: ((reply: OfferReply) => void) | undefined;
  #listener: HandoverListener | undefined;

  constructor(options: HandoverConnectionOptions) {
    this.#options = options;
    this.#ready = new Promise((resolve) => {
      this.#resolveReady = resolve;
    });
    const { self, sharedKey, clock, peer } = options;
    this.#link = new Link({
      socket: dialSocket(peer.mesh, undefined),
      self: { ...self, purpose: "handover" },
      sharedKey,
      maxFrameBytes: MAX_HANDOVER_FRAME_BYTES,
      clock,
      onReady: (link) => this.#resolveReady(link.peer?.id === peer.id),
      onMessage: (_link, message) => this.#handle(message),
      onClose: (_link, reason) => this.#handleClose(reason),
    });
  }

  get peer(): HandoverPeer {
    return this.#options.peer;
  }

  get isClosed(): boolean {
    return this.#link.isClosed;
  }

  /** Offers a call. The connection is closed if there is no reply within `timeoutMs`. */
  async offer(offer: HandoverOffer, timeoutMs: number): Promise<OfferReply> {
    const stopTimer = startStallAwareTimer(() => this.close(), timeoutMs);
    try {
      if (!await this.#ready || this.isClosed) {
        this.close();
        return "lost";
      }
      const reply = new Promise<OfferReply>((resolve) => {
        this.#resolveOffer = resolve;
      });
      this.#link.send({ kind: "offer", ...offer });
      const result = await reply;
      if (result !== "accepted" && !this.isClosed) this.#options.onIdle(this);
      return result;
    } catch (error) {
      this.close();
      throw error;
    } finally {
      stopTimer();
    }
  }

  /** Sends an accepted call. The listener gets exactly one end. */
  send(head: unknown, body: Buffer, listener: HandoverListener): void {
    if (this.isClosed) {
      queueMicrotask(() => listener.onLost("the connection was closed"));
      return;
    }
    this.#listener = listener;
    this.#link.send({ kind: "request", head });
    this.#sendBody(body, 0);
  }

  /** Stops reading the response, for a client that reads more slowly than the peer sends. */
  pause(): void {
    this.#link.pause();
  }

  resume(): void {
    this.#link.resume();
  }

  /** Closes the connection, which cancels the call in progress. */
  close(): void {
    this.#link.close("closed");
    this.#resolveReady(false);
  }

  #sendBody(body: Buffer, from: number): void {
    for (let start = from; start < body.length; start += MAX_PART_BYTES) {
      const bytes = body.subarray(start, start + MAX_PART_BYTES);
      if (this.#link.send({ kind: "bytes", bytes })) continue;
      const next = start + MAX_PART_BYTES;
      this.#link.registerDrainListener(() => this.#sendBody(body, next));
      return;
    }
    this.#link.send({ kind: "end" });
  }

  #handle(message: MeshMessage): void {
    switch (message.kind) {
      case "offerReply":
        return this.#settleOffer(message.declined ?? "accepted");
      case "response":
        return this.#listener?.onResponse(message.head);
      case "bytes":
        return this.#listener?.onBytes(Buffer.from(message.bytes));
      case "end":
        return this.#finish((listener) => listener.onEnd());
      case "failure":
        return this.#finish((listener) => listener.onFailure(message.failure));
      default:
        // A peer without handovers takes this connection for a link of the mesh.
        return;
    }
  }

  #settleOffer(reply: OfferReply): void {
    this.#resolveOffer?.(reply);
    this.#resolveOffer = undefined;
  }

  #finish(notify: (listener: HandoverListener) => void): void {
    const listener = this.#listener;
    this.#listener = undefined;
    if (listener === undefined) return;
    notify(listener);
    this.#link.resume();
    if (!this.isClosed) this.#options.onIdle(this);
  }

  #handleClose(reason: string): void {
    this.#resolveReady(false);
    this.#settleOffer("lost");
    const listener = this.#listener;
    this.#listener = undefined;
    listener?.onLost(`connection to ${this.peer.id} ended: ${reason}`);
    this.#options.onClose(this);
  }
}
