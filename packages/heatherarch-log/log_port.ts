/**
 * The narrow interface towards the platform's append-only log.
 *
 * @module
 */

/** A record as the log keeps it. */
export interface LogRecord {
  /** Position in the stream, from 0, without gaps. */
  readonly offset: number;
  /** The log's own time of the append, milliseconds since the Unix epoch. */
  readonly appendedAtMs: number;
  /** The record's content. */
  readonly data: unknown;
}

/** Answer to a read. */
export interface LogSlice {
  readonly records: readonly LogRecord[];
  /** Offset of the oldest record still kept. */
  readonly first: number;
  /** Offset that the next append will get. */
  readonly next: number;
}

/** Options of a read. */
export interface ReadOptions {
  readonly maxRecords?: number;
  /** How long the log may wait for a record when there is none, milliseconds. */
  readonly waitMs?: number;
  readonly signal?: AbortSignal;
}

/** The log could not be asked, or its answer was lost. The call may have taken effect. */
export class LogUnavailableError extends Error {
  constructor(detail: string, cause?: unknown) {
    super(`platform log: ${detail}`, { cause });
    this.name = "LogUnavailableError";
  }
}

/** An append-only log service with named streams. */
export interface LogPort {
  /** Appends one record and returns its offset. Throws {@linkcode LogUnavailableError}. */
  append(stream: string, data: unknown): Promise<number>;
  /**
   * Reads from `from` on. Where `from` has been trimmed the slice starts at `first`, so a
   * caller must compare offsets. Throws {@linkcode LogUnavailableError}.
   */
  read(stream: string, from: number, options?: ReadOptions): Promise<LogSlice>;
}
