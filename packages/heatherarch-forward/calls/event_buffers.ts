/**
 * Bounds the memory that all streams of a VM together hold for events whose end has not arrived.
 *
 * @module
 */

/** A stream that holds the bytes of an unfinished event. */
export interface EventHolder {
  /** Gives up the stream and what it holds. */
  discard(reason: string): void;
}

/** Options of {@linkcode EventBuffers}. */
export interface EventBuffersOptions {
  /** Bytes that all streams together may hold. */
  readonly maxBytes?: number;
}

/** Sixteen events of the largest size; a VM without calls has some 90 MB of memory. */
const DEFAULT_MAX_BYTES = 16 * 1024 * 1024;

/** The unfinished events of one VM. */
export class EventBuffers {
  readonly #maxBytes: number;
  readonly #held = new Map<EventHolder, number>();
  #total = 0;

  constructor({ maxBytes = DEFAULT_MAX_BYTES }: EventBuffersOptions = {}) {
    this.#maxBytes = maxBytes;
  }

  /** Bytes that all streams together hold. */
  get heldBytes(): number {
    return this.#total;
  }

  /**
   * Records how many bytes a stream holds. Beyond the bound the streams that hold most are given up: an
   * event of usual size is a small part of it.
   */
  record(holder: EventHolder, bytes: number): void {
    this.#total += bytes - (this.#held.get(holder) ?? 0);
    if (bytes === 0) this.#held.delete(holder);
    else this.#held.set(holder, bytes);
    while (this.#total > this.#maxBytes) this.#discardLargest();
  }

  #discardLargest(): void {
    let [largest, most] = [undefined as EventHolder | undefined, 0];
    for (const [holder, bytes] of this.#held) {
      if (bytes > most) [largest, most] = [holder, bytes];
    }
    if (largest === undefined) return;
    this.#total -= most;
    this.#held.delete(largest);
    largest.discard(
      `unfinished events of all streams exceed ${this.#maxBytes} bytes`,
    );
  }
}
