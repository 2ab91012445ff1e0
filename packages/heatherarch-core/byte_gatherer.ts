/**
 * A buffer for input that arrives in parts.
 *
 * @module
 */

const NO_BYTES = Buffer.alloc(0);
const MIN_BUFFER_BYTES = 64;
/** The buffer takes this many times the memory of its bytes at most. */
const GROWTH_FACTOR = 4;

/**
 * Gathers parts in one buffer that grows with the bytes that arrived. A list of the parts would take many
 * times the memory of their bytes if they are small, and joining them at each one would copy them again
 * and again.
 */
export class ByteGatherer {
  #buffer: Buffer = NO_BYTES;
  #length = 0;

  /** Number of bytes that are gathered. */
  get length(): number {
    return this.#length;
  }

  /** Size of the buffer. */
  get capacity(): number {
    return this.#buffer.length;
  }

  /** View of the gathered bytes, which is valid until the next change. */
  get bytes(): Buffer {
    return this.#buffer.subarray(0, this.#length);
  }

  /**
   * Adds a copy of a part. With `totalBytes`, the size of all parts, growth copies a third of the bytes
   * again and ends at that size; without it, growth copies them 1.34 times again at most.
   */
  append(part: Buffer, totalBytes = Infinity): void {
    const length = this.#length + part.length;
    if (length > this.#buffer.length) this.#grow(length, totalBytes);
    part.copy(this.#buffer, this.#length);
    this.#length = length;
  }

  /** Returns the gathered bytes and begins anew. */
  take(): Buffer {
    const { bytes } = this;
    this.clear();
    return bytes;
  }

  /** Drops the gathered bytes and their buffer. */
  clear(): void {
    this.#buffer = NO_BYTES;
    this.#length = 0;
  }

  #grow(length: number, totalBytes: number): void {
    const buffer = Buffer.allocUnsafeSlow(computeSize(length, totalBytes));
    this.bytes.copy(buffer);
    this.#buffer = buffer;
  }
}

/** Options of {@linkcode readBytes}. */
export interface ReadBytesOptions {
  readonly maxBytes: number;
  /** Called for each part that has arrived. */
  readonly onPart?: () => void;
}

/**
 * Reads a body as a whole. Rejects beyond `maxBytes`. The bytes are a copy of their size, so that views of them
 * don't keep a larger buffer.
 */
export async function readBytes(
  body: AsyncIterable<Buffer>,
  { maxBytes, onPart = () => undefined }: ReadBytesOptions,
): Promise<Buffer> {
  const received = new ByteGatherer();
  for await (const part of body) {
    onPart();
    if (received.length + part.length > maxBytes) {
      throw new Error(`response exceeds ${maxBytes} bytes`);
    }
    received.append(part, maxBytes);
  }
  return Buffer.from(received.bytes);
}

/** A known total is divided, so that the last growth, which copies most, comes at its quarter. */
function computeSize(length: number, totalBytes: number): number {
  const needed = Math.max(length, MIN_BUFFER_BYTES);
  if (totalBytes === Infinity) return GROWTH_FACTOR * needed;
  let size = Math.max(length, totalBytes);
  while (size >= GROWTH_FACTOR * needed) size = Math.ceil(size / GROWTH_FACTOR);
  return size;
}
