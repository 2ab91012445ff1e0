/**
 * Framing of messages: a 4-byte big-endian length, followed by one CBOR value.
 *
 * @module
 */
import { Decoder, Encoder } from "cbor-x";

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

/** Splits a byte stream into frames. */
export class FrameReader {
  readonly #maxFrameBytes: number;
  #pending: Buffer = Buffer.alloc(0);

  constructor(maxFrameBytes: number) {
    this.#maxFrameBytes = maxFrameBytes;
  }

  /** Adds bytes and returns the values that they complete. Throws {@linkcode FrameError}. */
  push(bytes: Buffer): unknown[] {
    const buffered = this.#pending.length === 0
      ? bytes
      : Buffer.concat([this.#pending, bytes]);
    const values: unknown[] = [];
    let position = 0;
    while (buffered.length - position >= HEADER_BYTES) {
      const length = buffered.readUInt32BE(position);
      if (length > this.#maxFrameBytes) {
        throw new FrameError(`length of ${length} bytes exceeds the limit`);
      }
      if (buffered.length - position - HEADER_BYTES < length) break;
      const start = position + HEADER_BYTES;
      values.push(decodeValue(buffered.subarray(start, start + length)));
      position = start + length;
    }
    this.#pending = buffered.subarray(position);
    return values;
  }
}

function decodeValue(bytes: Buffer): unknown {
  try {
    return decoder.decode(bytes);
  } catch (error) {
    throw new FrameError((error as Error).message);
  }
}
