/**
 * Cuts a stream of server-sent events at the ends of events, so that a stream that breaks off
 * can go on at another target without a torn or repeated event.
 *
 * @module
 */

/** A whole event. */
export interface SseEvent {
  /** The event's bytes, its blank line included. */
  readonly bytes: Buffer;
  /** Its id, where it has one. */
  readonly id?: string;
}

const NEWLINE = 0x0a;
const RETURN = 0x0d;
const ID_LINE = /^id: ?(.*?)\r?$/m;

/** Collects bytes until they make whole events. */
export class SseSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** Adds bytes and returns the events that they complete. */
  push(bytes: Buffer): SseEvent[] {
    this.#rest = this.#rest.length === 0
      ? bytes
      : Buffer.concat([this.#rest, bytes]);
    const events: SseEvent[] = [];
    let start = 0;
    while (true) {
      const end = findEventEnd(this.#rest, start);
      if (end < 0) break;
      events.push(buildEvent(this.#rest.subarray(start, end)));
      start = end;
    }
    this.#rest = this.#rest.subarray(start);
    return events;
  }

  /** Bytes after the last whole event. */
  get remainder(): Buffer {
    return this.#rest;
  }
}

/** Index behind the blank line that ends the event at `start`; -1 where it is not there yet. */
function findEventEnd(bytes: Buffer, start: number): number {
  let at = bytes.indexOf(NEWLINE, start);
  while (at >= 0) {
    let next = at + 1;
    if (bytes[next] === RETURN) next++;
    if (next >= bytes.length) return -1;
    if (bytes[next] === NEWLINE) return next + 1;
    at = bytes.indexOf(NEWLINE, at + 1);
  }
  return -1;
}

function buildEvent(bytes: Buffer): SseEvent {
  const id = ID_LINE.exec(bytes.toString("latin1"))?.[1];
  return id === undefined ? { bytes } : { bytes, id };
}
