/**
 * Interface to the platform's append-only log.
 *
 * @module
 */

/** A record as the log stores it. */
export interface LogRecord {
  /** Position in the stream, from 0, without gaps. */
  readonly offset: number;
  /** Time of the append by the clock of the log, milliseconds since the Unix epoch. */
  readonly appendedAtMs: number;
  /** Content of the record. */
  readonly data: unknown;
}

/** Result of a read. */
export interface LogSlice {
  readonly records: readonly LogRecord[];
  /** Offset of the oldest record that the log keeps. */
  readonly first: number;
  /** Offset that the next append will get. */
  readonly next: number;
  /** Epoch of the log, which rises when it comes back from a copy; undefined if it names none. */
  readonly epoch?: number;
}

/** Options of a read. */
export interface ReadOptions {
  readonly maxRecords?: number;
  /** Time for which the log may wait for a record if there is none, milliseconds. */
  readonly waitMs?: number;
  readonly signal?: AbortSignal;
}

/** The log is unreachable, or its response was lost. The call may have taken effect. */
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
   * Reads the records from offset `from` on. If `from` is already trimmed, the slice starts at
   * `first`, so the caller must compare offsets. Throws {@linkcode LogUnavailableError}.
   */
  read(stream: string, from: number, options?: ReadOptions): Promise<LogSlice>;
}
