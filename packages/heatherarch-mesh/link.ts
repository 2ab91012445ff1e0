/**
 * TCP connection between two entry VMs. Each end proves in a handshake that it knows the shared
 * key. Afterwards the ends exchange framed messages and answer pings.
 *
 * @module
 */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import type { Socket } from "node:net";
import type { Clock } from "heatherarch-core";
import { encodeFrame, FrameReader } from "./frame.ts";
import {
  type Hello,
  MESH_FORMAT,
  type MeshMessage,
  parseMeshMessage,
} from "./messages.ts";

/** Identity that a VM announces in its hello. */
export interface LinkIdentity {
  readonly id: string;
  readonly incarnation: string;
  readonly availabilityZone: string;
  readonly mesh: string;
  /** Capacity of the VM as a hub. A higher value is preferred. */
  readonly capacity?: number;
  /** Purpose of the connection; without one it is a link of the mesh. */
  readonly purpose?: "handover";
}

/** Reason for which this end closes a link. */
export type LinkCloseReason =
  | "badFrame"
  | "badMessage"
  | "badProof"
  | "otherFormat"
  | "tooSlow"
  | "silent"
  | "closed";

/** Options of {@linkcode Link}. */
export interface LinkOptions {
  readonly socket: Socket;
  readonly self: LinkIdentity;
  readonly sharedKey: string;
  readonly maxFrameBytes: number;
  /**
   * A heartbeat is answered with a pong only if nothing was sent on the link for this long,
   * milliseconds. With 0 every heartbeat is answered.
   */
  readonly pongAfterMs?: number;
  readonly clock: Clock;
  readonly onReady: (link: Link) => void;
  readonly onMessage: (link: Link, message: MeshMessage) => void;
  readonly onClose: (link: Link, reason: LinkCloseReason) => void;
}

const NONCE_BYTES = 16;
/** Maximum number of bytes that are buffered for a slow peer before the link is closed. */
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024;

/** A link to a peer. It is ready once the peer has proved that it knows the shared key. */
export class Link {
  readonly #options: LinkOptions;
  readonly #reader: FrameReader;
  readonly #nonce = randomBytes(NONCE_BYTES).toString("base64url");
  #peer: LinkIdentity | undefined;
  #ready = false;
  #closed = false;
  #lastHeardMs: number;
  #lastSentMs = -Infinity;
  #bytesSent = 0;
  #bytesReceived = 0;

  constructor(options: LinkOptions) {
    this.#options = options;
    this.#reader = new FrameReader(options.maxFrameBytes);
    this.#lastHeardMs = options.clock.readMonotonicMs();
    const { socket } = options;
    socket.setNoDelay(true);
    socket.on("data", (bytes: Buffer) => this.#receive(bytes));
    socket.on("error", () => this.close("closed"));
    socket.on("close", () => this.close("closed"));
    this.#sendHello();
  }

  /** Identity of the peer; undefined before its hello. */
  get peer(): LinkIdentity | undefined {
    return this.#peer;
  }

  get isReady(): boolean {
    return this.#ready;
  }

  get isClosed(): boolean {
    return this.#closed;
  }

  /** Monotonic time at which bytes were last received. */
  get lastHeardMs(): number {
    return this.#lastHeardMs;
  }

  get bytesSent(): number {
    return this.#bytesSent;
  }

  get bytesReceived(): number {
    return this.#bytesReceived;
  }

  /** Whether all that was sent has been handed to the operating system. */
  get isWritten(): boolean {
    return this.#options.socket.writableLength === 0;
  }

  /**
   * Sends a message. A message to a closed link is dropped. Returns false if the next one should
   * wait for {@linkcode registerDrainListener}.
   */
  send(message: MeshMessage): boolean {
    if (this.#closed) return true;
    const frame = encodeFrame(message);
    this.#bytesSent += frame.length;
    this.#lastSentMs = this.#options.clock.readMonotonicMs();
    const mayContinue = this.#options.socket.write(frame);
    if (this.#options.socket.writableLength > MAX_BUFFERED_BYTES) {
      this.close("tooSlow");
    }
    return mayContinue;
  }

  /** Calls `listener` once the write buffer has drained. */
  registerDrainListener(listener: () => void): void {
    this.#options.socket.once("drain", listener);
  }

  /** Stops reading until {@linkcode resume}, so that the peer can't send much more. */
  pause(): void {
    this.#options.socket.pause();
  }

  /** Continues to read. */
  resume(): void {
    this.#options.socket.resume();
  }

  /** Closes the connection at once. */
  close(reason: LinkCloseReason): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#ready = false;
    this.#options.socket.destroy();
    this.#options.onClose(this, reason);
  }

  #sendHello(): void {
    const { self } = this.#options;
    this.send({
      kind: "hello",
      format: MESH_FORMAT,
      vmId: self.id,
      incarnation: self.incarnation,
      availabilityZone: self.availabilityZone,
      mesh: self.mesh,
      capacity: self.capacity,
      purpose: self.purpose,
      nonce: this.#nonce,
    });
  }

  #receive(bytes: Buffer): void {
    if (this.#closed) return;
    this.#bytesReceived += bytes.length;
    this.#lastHeardMs = this.#options.clock.readMonotonicMs();
    let values: unknown[];
    try {
      values = this.#reader.push(bytes);
    } catch {
      this.close("badFrame");
      return;
    }
    for (const value of values) {
      const message = parseMeshMessage(value);
      if (message === undefined) return this.close("badMessage");
      this.#dispatch(message);
      if (this.#closed) return;
    }
  }

  #dispatch(message: MeshMessage): void {
    if (this.#ready) {
      if (message.kind === "ping" || this.#needsPong(message)) {
        this.send({ kind: "pong", seq: 0 });
      }
      this.#options.onMessage(this, message);
      return;
    }
    if (message.kind === "hello") this.#handleHello(message);
    else if (message.kind === "prove") this.#handleProof(message.mac);
    else this.close("badMessage");
  }

  /**
   * An otherwise idle link needs a pong, since the peer closes a link on which it receives nothing.
   */
  #needsPong(message: MeshMessage): boolean {
    if (message.kind !== "heartbeat") return false;
    const { pongAfterMs = 0, clock } = this.#options;
    return clock.readMonotonicMs() - this.#lastSentMs >= pongAfterMs;
  }

  #handleHello(hello: Hello): void {
    if (hello.format !== MESH_FORMAT) return this.close("otherFormat");
    if (this.#peer !== undefined) return this.close("badMessage");
    this.#peer = {
      id: hello.vmId,
      incarnation: hello.incarnation,
      availabilityZone: hello.availabilityZone,
      mesh: hello.mesh,
      ...(hello.capacity === undefined ? {} : { capacity: hello.capacity }),
      ...(hello.purpose === undefined ? {} : { purpose: hello.purpose }),
    };
    const mac = computeProof(
      this.#options.sharedKey,
      hello.nonce,
      this.#options.self.id,
    );
    this.send({ kind: "prove", mac });
  }

  #handleProof(mac: string): void {
    if (this.#peer === undefined) return this.close("badMessage");
    const expected = Buffer.from(
      computeProof(this.#options.sharedKey, this.#nonce, this.#peer.id),
    );
    const given = Buffer.from(mac);
    if (given.length !== expected.length || !timingSafeEqual(given, expected)) {
      return this.close("badProof");
    }
    this.#ready = true;
    this.#options.onReady(this);
  }
}

/** Computes the proof of the shared key: an HMAC over the verifier's nonce and the prover's id. */
function computeProof(
  sharedKey: string,
  nonce: string,
  proverId: string,
): string {
  return createHmac("sha256", `heatherarch-mesh:${sharedKey}`)
    .update(`${nonce}|${proverId}`)
    .digest("base64url");
}
