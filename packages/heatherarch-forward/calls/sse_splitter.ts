/**
 * Splits a stream of server-sent events at event boundaries, so that another target can resume an
 * interrupted stream without a truncated or repeated event.
 *
 * @module
 */
import { EventBuffers, type EventHolder } from "./event_buffers.ts";

/** A complete event. */
export interface SseEvent {
  /** Bytes of the event, including the blank line that ends it and those that arrived right behind it. */
  readonly bytes: Buffer;
  /** Value of the event's `id` field, if it has one. */
  readonly id?: string;
}

/** Options of {@linkcode SseSplitter}. */
export interface SseSplitterOptions {
  /** The unfinished events of all streams. */
  readonly buffers?: EventBuffers;
  /** Called when the stream can't be split any more, because it holds too much of an unfinished event. */
  readonly onOverflow?: (reason: string) => void;
  /** Largest size of an event that does not arrive as a whole, bytes. */
  readonly maxEventBytes?: number;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(.*?)\r?$/m;
const NO_BYTES = Buffer.alloc(0);

/**
 * As much as a plain response may have that is buffered as a whole. An event holds some tokens, and a
 * whole response of 10,000 tokens in one event has 100 bytes for each.
 */
const MAX_EVENT_BYTES = 1024 * 1024;
const MIN_BUFFER_BYTES = 1024;
/** A buffer up to this size is kept for the next event. It is not counted, as each stream has one. */
const KEPT_BUFFER_BYTES = 4 * 1024;

/** What the last bytes may be the beginning of. */
type LineState = "inLine" | "afterLineFeed" | "afterCarriageReturn";

/** Buffers bytes until they form complete events. Each byte is searched once. */
export class SseSplitter implements EventHolder {
  readonly #options: Required<SseSplitterOptions>;
  /** Buffer of the unfinished event; its size doubles, so that each byte is copied few times. */
  #buffer: Buffer = NO_BYTES;
  #length = 0;
  #lineState: LineState = "inLine";
  #isDiscarded = false;

  constructor(options: SseSplitterOptions = {}) {
    this.#options = {
      buffers: new EventBuffers(),
      onOverflow: () => undefined,
      maxEventBytes: MAX_EVENT_BYTES,
      ...options,
    };
  }

  /** Adds bytes and returns the events that they complete. */
  push(bytes: Buffer): SseEvent[] {
    const events: SseEvent[] = [];
    if (this.#isDiscarded) return events;
    let start = 0;
    let end = this.#findEventEnd(bytes, start);
    while (end >= 0) {
      end = skipBlankLines(bytes, end);
      events.push(buildEvent(this.#complete(bytes.subarray(start, end))));
      start = end;
      end = this.#findEventEnd(bytes, start);
    }
    if (start < bytes.length) this.#hold(bytes.subarray(start));
    return events;
  }

  /** Bytes after the last complete event. */
  get remainder(): Buffer {
    return this.#buffer.subarray(0, this.#length);
  }

  /** Releases what is held, at the end of the stream. */
  close(): void {
    this.#release();
    this.#isDiscarded = true;
  }

  discard(reason: string): void {
    this.close();
    this.#options.onOverflow(reason);
  }

  /** Returns the index after the blank line that ends the event, or -1 if `bytes` don't contain it. */
  #findEventEnd(bytes: Buffer, start: number): number {
    let at = start;
    while (at < bytes.length) {
      if (this.#lineState === "inLine") {
        const lineFeed = bytes.indexOf(LINE_FEED, at);
        if (lineFeed < 0) return -1;
        this.#lineState = "afterLineFeed";
        at = lineFeed + 1;
        continue;
      }
      const byte = bytes[at];
      const isCarriageReturn = byte === CARRIAGE_RETURN &&
        this.#lineState === "afterLineFeed";
      this.#lineState = isCarriageReturn ? "afterCarriageReturn" : "inLine";
      if (byte === LINE_FEED) return at + 1;
      if (isCarriageReturn) at++;
    }
    return -1;
  }

  /** Returns the bytes of an event that ends with `last`. */
  #complete(last: Buffer): Buffer {
    if (this.#length === 0) return last;
    const event = Buffer.concat([this.remainder, last]);
    this.#length = 0;
    if (this.#buffer.length > KEPT_BUFFER_BYTES) this.#release();
    return event;
  }

  #hold(bytes: Buffer): void {
    const { maxEventBytes } = this.#options;
    const length = this.#length + bytes.length;
    if (length > maxEventBytes) {
      this.discard(`event exceeds ${maxEventBytes} bytes`);
      return;
    }
    if (length > this.#buffer.length) this.#grow(length);
    // A copy, since a view would keep all that arrived with these bytes.
    bytes.copy(this.#buffer, this.#length);
    this.#length = length;
  }

  #grow(length: number): void {
    const doubled = Math.max(2 * this.#buffer.length, MIN_BUFFER_BYTES);
    const buffer = Buffer.allocUnsafeSlow(Math.max(doubled, length));
    this.remainder.copy(buffer);
    this.#buffer = buffer;
    if (buffer.length <= KEPT_BUFFER_BYTES) return;
    this.#options.buffers.record(this, buffer.length);
  }

  #release(): void {
    this.#buffer = NO_BYTES;
    this.#length = 0;
    this.#options.buffers.record(this, 0);
  }
}

/**
 * Returns the index after the blank lines from `start` on. They are no events, and without an end each of
 * them would cost as much as one.
 */
function skipBlankLines(bytes: Buffer, start: number): number {
  let at = start;
  while (true) {
    if (bytes[at] === LINE_FEED) at++;
    else if (bytes[at] === CARRIAGE_RETURN && bytes[at + 1] === LINE_FEED) {
      at += 2;
    } else return at;
  }
}

function buildEvent(bytes: Buffer): SseEvent {
  const id = ID_LINE.exec(bytes.toString("latin1"))?.[1];
  return id === undefined ? { bytes } : { bytes, id };
}
