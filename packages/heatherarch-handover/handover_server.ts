/**
 * Accepts connections over which peers hand calls over, and serves the calls.
 *
 * @module
 */
import { ByteGatherer } from "heatherarch-core";
import type {
  DeclineReason,
  Link,
  LinkListener,
  MeshMessage,
} from "heatherarch-mesh";
import type { HandoverOffer } from "./handover_connection.ts";
import { MAX_PART_BYTES } from "./handover_connection.ts";

/** Sends the response to one call back to the peer that handed it over. */
export interface HandoverResponder {
  /** Id of the peer that handed the call over. */
  readonly peer: string;
  /** Whether the peer has closed the connection, as it does when its client disconnects. */
  readonly isDisconnected: boolean;
  registerDisconnectListener(listener: () => void): () => void;
  sendHead(head: unknown): void;
  /** Sends bytes of the body. Returns false if the next ones should wait for a drain. */
  sendBytes(bytes: Buffer): boolean;
  registerDrainListener(listener: () => void): void;
  end(): void;
  /** Ends the call without a response of a target. */
  fail(failure: unknown): void;
  /** Closes the connection, which shows the peer that the response is incomplete. */
  destroy(): void;
}

/** Options of {@linkcode HandoverServer}. */
export interface HandoverServerOptions {
  /** Returns why an offered call is declined; undefined if it is accepted. */
  readonly decideOffer: (
    offer: HandoverOffer,
  ) => Promise<DeclineReason | undefined>;
  /** Whether the VM shuts down and declines all offers; by default it does not. */
  readonly isStopping?: () => boolean;
  /** Serves an accepted call to its end. */
  readonly serve: (
    head: unknown,
    body: Buffer,
    responder: HandoverResponder,
  ) => Promise<void>;
  /** Largest body of a request. */
  readonly getMaxBodyBytes: () => number;
  /** Calls that are served for peers at the same time. */
  readonly maxCalls?: number;
  /** Time after which an unused connection is closed; the sender closes it earlier, milliseconds. */
  readonly idleTimeoutMs?: number;
  /** Time within which the next part of an accepted call arrives, milliseconds. */
  readonly requestTimeoutMs?: number;
  /** Called with each error of {@linkcode decideOffer} and {@linkcode serve}. Never throws. */
  readonly onError?: (thrown: unknown) => void;
}

const DEFAULT_MAX_CALLS = 64;
const DEFAULT_REQUEST_TIMEOUT_MS = 2000;
const DEFAULT_IDLE_TIMEOUT_MS = 10_000;

/** The receiver's end of all handovers of one VM. */
export class HandoverServer {
  readonly #options: HandoverServerOptions;
  readonly #sessions = new Set<Session>();

  constructor(options: HandoverServerOptions) {
    this.#options = options;
  }

  /** Calls that are accepted and not ended. */
  get openCalls(): number {
    return [...this.#sessions].filter(({ isBusy }) => isBusy).length;
  }

  /** Whether all that was sent to peers has been handed to the operating system. */
  get isWritten(): boolean {
    return [...this.#sessions].every(({ isWritten }) => isWritten);
  }

  /** Accepts a connection of a peer. */
  accept(link: Link): LinkListener {
    const session = new Session(link, {
      ...this.#options,
      decideOffer: (offer) => this.#decideOffer(offer),
      onClose: () => this.#sessions.delete(session),
    });
    this.#sessions.add(session);
    return session;
  }

  async #decideOffer(
    offer: HandoverOffer,
  ): Promise<DeclineReason | undefined> {
    const {
      decideOffer,
      maxCalls = DEFAULT_MAX_CALLS,
      isStopping = () => false,
    } = this.#options;
    if (isStopping()) return "stopping";
    if (this.openCalls >= maxCalls) return "busy";
    const declined = await decideOffer(offer);
    return isStopping() ? "stopping" : declined;
  }
}

interface SessionOptions extends HandoverServerOptions {
  readonly onClose: () => void;
}

/** `idle`, then `offered` until the reply, `accepted` until the request is complete, `serving`. */
type SessionState = "idle" | "offered" | "accepted" | "serving" | "closed";

/** One connection of a peer. */
class Session implements LinkListener, HandoverResponder {
  readonly #link: Link;
  readonly #options: SessionOptions;
  readonly #disconnectListeners = new Set<() => void>();
  #state: SessionState = "idle";
  #head: unknown;
  readonly #body = new ByteGatherer();
  /** Closes a connection on which nothing follows; there is none while a call is served. */
  #timer: NodeJS.Timeout | undefined;

  constructor(link: Link, options: SessionOptions) {
    this.#link = link;
    this.#options = options;
    this.#startIdleTimer();
  }

  get peer(): string {
    return this.#link.peer?.id ?? "";
  }

  /** Whether a call is accepted and not ended. */
  get isBusy(): boolean {
    return this.#state === "accepted" || this.#state === "serving";
  }

  get isWritten(): boolean {
    return this.#link.isWritten;
  }

  get isDisconnected(): boolean {
    return this.#state === "closed";
  }

  onMessage(message: MeshMessage): void {
    const state = this.#state;
    if (message.kind === "offer" && state === "idle") {
      this.#closeOnError(this.#replyToOffer(message));
    } else if (message.kind === "request" && state === "accepted") {
      this.#head = message.head;
    } else if (message.kind === "bytes" && state === "accepted") {
      this.#addPart(Buffer.from(message.bytes));
    } else if (message.kind === "end" && state === "accepted") {
      this.#closeOnError(this.#serve());
    } else {
      this.destroy();
    }
  }

  onClose(): void {
    if (this.#state === "closed") return;
    this.#state = "closed";
    clearTimeout(this.#timer);
    this.#options.onClose();
    for (const listener of this.#disconnectListeners) listener();
  }

  registerDisconnectListener(listener: () => void): () => void {
    this.#disconnectListeners.add(listener);
    return () => {
      this.#disconnectListeners.delete(listener);
    };
  }

  sendHead(head: unknown): void {
    this.#link.send({ kind: "response", head });
  }

  sendBytes(bytes: Buffer): boolean {
    let mayContinue = true;
    for (let start = 0; start < bytes.length; start += MAX_PART_BYTES) {
      const part = bytes.subarray(start, start + MAX_PART_BYTES);
      mayContinue = this.#link.send({ kind: "bytes", bytes: part });
    }
    return mayContinue;
  }

  registerDrainListener(listener: () => void): void {
    this.#link.registerDrainListener(listener);
  }

  end(): void {
    this.#becomeIdle();
    this.#link.send({ kind: "end" });
  }

  fail(failure: unknown): void {
    this.#becomeIdle();
    this.#link.send({ kind: "failure", failure });
  }

  destroy(): void {
    this.#link.close("closed");
  }

  async #replyToOffer(offer: HandoverOffer): Promise<void> {
    this.#state = "offered";
    const declined = await this.#options.decideOffer(offer);
    if (this.isDisconnected) return;
    const isAccepted = declined === undefined;
    this.#state = isAccepted ? "accepted" : "idle";
    if (isAccepted) this.#startRequestTimer();
    else this.#startIdleTimer();
    this.#link.send({ kind: "offerReply", declined });
  }

  /** A part without bytes is an error: no sender sends one, and they could follow each other for ever. */
  #addPart(bytes: Buffer): void {
    if (bytes.length === 0) return this.destroy();
    this.#startRequestTimer();
    this.#body.append(bytes);
    if (this.#body.length > this.#options.getMaxBodyBytes()) this.destroy();
  }

  /** Closes the connection if a step fails, as neither end would do anything with it any more. */
  #closeOnError(step: Promise<void>): void {
    step.catch((error) => {
      this.#options.onError?.(error);
      this.destroy();
    });
  }

  async #serve(): Promise<void> {
    clearTimeout(this.#timer);
    this.#state = "serving";
    const body = this.#body.take();
    await this.#options.serve(this.#head, body, this);
  }

  #becomeIdle(): void {
    this.#disconnectListeners.clear();
    if (this.#state === "closed") return;
    this.#state = "idle";
    this.#startIdleTimer();
  }

  #startIdleTimer(): void {
    const { idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS } = this.#options;
    this.#startTimer(idleTimeoutMs);
  }

  #startRequestTimer(): void {
    const { requestTimeoutMs = DEFAULT_REQUEST_TIMEOUT_MS } = this.#options;
    this.#startTimer(requestTimeoutMs);
  }

  #startTimer(timeoutMs: number): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.destroy(), timeoutMs);
  }
}
