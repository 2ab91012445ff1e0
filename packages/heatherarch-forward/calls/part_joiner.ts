/**
 * Joins the parts of a body that arrive in one turn of the event loop.
 *
 * The HTTP client hands on each chunk by itself, and a read of 64 KiB holds more than ten thousand chunks of
 * one byte. What is kept or sent of each part costs some hundred bytes, whatever its size.
 *
 * @module
 */
import { ByteGatherer } from "heatherarch-core";

const NO_BYTES = Buffer.alloc(0);

/** The parts that have arrived since the last ones were taken. */
export class PartJoiner {
  /** A part that is alone, as most are, is not copied. */
  #first: Buffer | undefined;
  readonly #parts = new ByteGatherer();

  /** Number of bytes that were added. */
  get length(): number {
    return this.#parts.length > 0
      ? this.#parts.length
      : this.#first?.length ?? 0;
  }

  /** Adds a part, which is copied unless it is the only one. */
  add(part: Buffer): void {
    if (this.#first === undefined) {
      this.#first = part;
      return;
    }
    if (this.#parts.length === 0) this.#parts.append(this.#first);
    this.#parts.append(part);
  }

  /** Returns all parts as one and begins anew. */
  take(): Buffer {
    const first = this.#first ?? NO_BYTES;
    this.#first = undefined;
    return this.#parts.length === 0 ? first : this.#parts.take();
  }
}
