/**
 * Limits the memory of all bodies together, those of clients' requests or those of targets' responses. A limit
 * for each body is not enough: many may be sent at once and never end.
 *
 * @module
 */
import { ByteGatherer } from "heatherarch-core";

/** Options of {@linkcode BodyMemory}. */
export interface BodyMemoryOptions {
  readonly maxBytes: number;
}

/** Bodies up to this size are not evicted, so that ordinary clients are served beside many large bodies. */
const SMALL_BODY_BYTES = 16 * 1024;

/** Memory of bodies, from their first byte until they are released. */
export class BodyMemory {
  readonly #options: BodyMemoryOptions;
  readonly #incomplete = new Set<HeldBody>();
  #heldBytes = 0;

  constructor(options: BodyMemoryOptions) {
    this.#options = options;
  }

  /** Bytes of all bodies that are held. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Adds a body. `onEvicted` is called with what has arrived if it is incomplete and has to give way. */
  open(onEvicted: (bytes: Buffer) => void): HeldBody {
    const body: HeldBody = new HeldBody({
      onResized: (bytes) => this.#resize(bytes),
      onSettled: () => this.#incomplete.delete(body),
      onEvicted,
    });
    this.#incomplete.add(body);
    return body;
  }

  #resize(bytes: number): void {
    this.#heldBytes += bytes;
    if (bytes <= 0) return;
    while (this.#heldBytes > this.#options.maxBytes) {
      const largest = this.#findLargest();
      if (largest === undefined) return;
      largest.evict();
    }
  }

  /** Finds the largest incomplete body; of equal ones, the one that was opened first. */
  #findLargest(): HeldBody | undefined {
    let largest: HeldBody | undefined;
    let mostBytes = SMALL_BODY_BYTES;
    for (const body of this.#incomplete) {
      if (body.capacity <= mostBytes) continue;
      largest = body;
      mostBytes = body.capacity;
    }
    return largest;
  }
}

interface HeldBodyListeners {
  readonly onResized: (bytes: number) => void;
  readonly onSettled: () => void;
  readonly onEvicted: (bytes: Buffer) => void;
}

/** One body. Small parts share a buffer, as each part of its own would cost more than its bytes. */
export class HeldBody {
  readonly #listeners: HeldBodyListeners;
  readonly #gatherer = new ByteGatherer();
  #heldBytes = 0;
  #isReleased = false;

  constructor(listeners: HeldBodyListeners) {
    this.#listeners = listeners;
  }

  /** Memory that the body takes, bytes. */
  get capacity(): number {
    return this.#heldBytes;
  }

  /** Number of bytes that were added. */
  get length(): number {
    return this.#gatherer.length;
  }

  /** Adds a part. With `totalBytes`, the declared size of the body, no more memory than that is taken. */
  append(part: Buffer, totalBytes?: number): void {
    if (this.#isReleased) return;
    this.#gatherer.append(part, totalBytes);
    this.#resize(this.#gatherer.capacity);
  }

  /** Returns the complete body, which is held until it is released. */
  complete(): Buffer {
    this.#listeners.onSettled();
    return this.#gatherer.bytes;
  }

  /** Gives the memory back, also if the body is incomplete. */
  release(): void {
    this.#isReleased = true;
    this.#listeners.onSettled();
    this.#gatherer.clear();
    this.#resize(0);
  }

  /** Releases the memory and gives what has arrived to the owner. */
  evict(): void {
    const { bytes } = this.#gatherer;
    this.release();
    this.#listeners.onEvicted(bytes);
  }

  #resize(bytes: number): void {
    const change = bytes - this.#heldBytes;
    this.#heldBytes = bytes;
    if (change !== 0) this.#listeners.onResized(change);
  }
}
