/**
 * Splits a stream of server-sent events at event boundaries, so that another target can resume an
 * interrupted stream without a truncated or repeated event.
 *
 * @module
 */

/** A complete event. */
export interface SseEvent {
  /** Bytes of the event, including the blank line that ends it. */
  readonly bytes: Buffer;
  /** Value of the event's `id` field, if it has one. */
  readonly id?: string;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(.*?)\r?$/m;

/** Buffers bytes until they form complete events. */
export class SseSplitter {
  #remainder: Buffer = Buffer.alloc(0);

  /** Adds bytes and returns the events that they complete. */
  push(bytes: Buffer): SseEvent[] {
    this.#remainder = this.#remainder.length === 0
      ? bytes
      : Buffer.concat([this.#remainder, bytes]);
    const events: SseEvent[] = [];
    let start = 0;
    while (true) {
      const end = findEventEnd(this.#remainder, start);
      if (end < 0) break;
      events.push(buildEvent(this.#remainder.subarray(start, end)));
      start = end;
    }
    this.#remainder = this.#remainder.subarray(start);
    return events;
  }

  /** Bytes after the last complete event. */
  get remainder(): Buffer {
    return this.#remainder;
  }
}

/**
 * Returns the index after the blank line that ends the event at `start`, or -1 if it is incomplete.
 */
function findEventEnd(bytes: Buffer, start: number): number {
  let at = bytes.indexOf(LINE_FEED, start);
  while (at >= 0) {
    let next = at + 1;
    if (bytes[next] === CARRIAGE_RETURN) next++;
    if (next >= bytes.length) return -1;
    if (bytes[next] === LINE_FEED) return next + 1;
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return -1;
}

function buildEvent(bytes: Buffer): SseEvent {
  const id = ID_LINE.exec(bytes.toString("latin1"))?.[1];
  return id === undefined ? { bytes } : { bytes, id };
}
