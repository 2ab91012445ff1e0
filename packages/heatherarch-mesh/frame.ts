/**
 * Framing of messages: a 4-byte big-endian length, followed by one CBOR value.
 *
 * @module
 */
import { Decoder, Encoder } from "cbor-x";
import { ByteGatherer } from "heatherarch-core";

const HEADER_BYTES = 4;
/** Keys that every heartbeat carries. They are encoded as numbers. */
const KEY_NUMBERS = {
  kind: 1,
  configOffset: 2,
  controlOffset: 3,
  intervalMs: 4,
  leaving: 5,
  zone: 6,
  demand: 7,
  reports: 8,
  seq: 9,
};
const OPTIONS = { useRecords: false, keyMap: KEY_NUMBERS };
const encoder = new Encoder({ ...OPTIONS, tagUint8Array: false });
const decoder = new Decoder(OPTIONS);

/** A frame that can't be decoded. The connection that carried it is closed. */
export class FrameError extends Error {
  constructor(detail: string) {
    super(`mesh frame: ${detail}`);
    this.name = "FrameError";
  }
}

/** Encodes one value as a frame. */
export function encodeFrame(value: unknown): Buffer {
  const body = encoder.encode(value);
  const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, HEADER_BYTES);
  return frame;
}

/**
 * Splits a byte stream into frames. A frame that arrives in parts is gathered in a buffer that grows
 * with the bytes that arrived, up to the announced length: a peer that announces a long frame and sends
 * nothing takes no memory.
 */
export class FrameReader {
  readonly #maxFrameBytes: number;
  readonly #pending = new ByteGatherer();

  constructor(maxFrameBytes: number) {
    this.#maxFrameBytes = maxFrameBytes;
  }

  /** Size of the buffer of the unfinished frame. */
  get bufferBytes(): number {
    return this.#pending.capacity;
  }

  /** Adds bytes and returns the values that they complete. Throws {@linkcode FrameError}. */
  push(bytes: Buffer): unknown[] {
    const values: unknown[] = [];
    let position = this.#completeFrame(bytes, values);
    while (position < bytes.length) {
      const rest = bytes.subarray(position);
      const frameBytes = this.#readFrameBytes(rest);
      if (frameBytes === undefined || frameBytes > rest.length) {
        this.#pending.append(rest, frameBytes ?? HEADER_BYTES);
        break;
      }
      values.push(decodeValue(rest.subarray(HEADER_BYTES, frameBytes)));
      position += frameBytes;
    }
    return values;
  }

  /** Adds bytes to the unfinished frame and returns how many belong to it. */
  #completeFrame(bytes: Buffer, values: unknown[]): number {
    let position = 0;
    while (this.#pending.length > 0) {
      const frameBytes = this.#readFrameBytes(this.#pending.bytes);
      if (frameBytes === this.#pending.length) {
        const frame = this.#pending.take();
        values.push(decodeValue(frame.subarray(HEADER_BYTES)));
        break;
      }
      if (position === bytes.length) break;
      const wantedBytes = frameBytes ?? HEADER_BYTES;
      const missing = wantedBytes - this.#pending.length;
      const part = bytes.subarray(position, position + missing);
      this.#pending.append(part, wantedBytes);
      position += part.length;
    }
    return position;
  }

  /** Returns the size of the frame that `bytes` begin with; undefined if its header is incomplete. */
  #readFrameBytes(bytes: Buffer): number | undefined {
    if (bytes.length < HEADER_BYTES) return undefined;
    const length = bytes.readUInt32BE(0);
    if (length > this.#maxFrameBytes) {
      throw new FrameError(`length of ${length} bytes exceeds the limit`);
    }
    return HEADER_BYTES + length;
  }
}

function decodeValue(bytes: Buffer): unknown {
  try {
    return decoder.decode(bytes);
  } catch (error) {
    throw new FrameError((error as Error).message);
  }
}
