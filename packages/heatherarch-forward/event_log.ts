/**
 * Structured log lines on standard output: one line for each decision, bounded in number, and
 * never waited for.
 *
 * @module
 */
import winston from "winston";
import Transport from "winston-transport";

/** Weight of a line. */
export type LogLevel = "error" | "warn" | "info" | "debug";

/** Writes events as lines. */
export interface EventLog {
  /** Writes one line, or counts it as dropped where too many came. */
  write(
    level: LogLevel,
    event: string,
    fields: Readonly<Record<string, unknown>>,
  ): void;
}

/** Options of {@linkcode StdoutEventLog}. */
export interface EventLogOptions {
  readonly vm: string;
  readonly level?: LogLevel;
  /** Lines a second; a second's worth may come at once. */
  readonly maxLinesPerSecond?: number;
}

/** About twice the lines of a small VM at its usual load (some 15 calls a second, 4 lines each). */
const DEFAULT_MAX_LINES_PER_SECOND = 150;
/** Bytes that may wait for a reader of standard output before lines are dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024;
const MESSAGE = Symbol.for("message");

/** An age as it is logged, in whole milliseconds; null for what was never known. */
export function formatAge(ageMs: number): number | null {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : null;
}

/** Lines in JSON on standard output. */
export class StdoutEventLog implements EventLog {
  readonly #logger: winston.Logger;
  readonly #maxLines: number;
  #second = 0;
  #lines = 0;
  #dropped = 0;

  constructor(options: EventLogOptions) {
    this.#maxLines = options.maxLinesPerSecond ?? DEFAULT_MAX_LINES_PER_SECOND;
    this.#logger = winston.createLogger({
      level: options.level ?? "info",
      defaultMeta: { vm: options.vm },
      format: winston.format.combine(
        winston.format.timestamp(),
        winston.format.json(),
      ),
      transports: [new NonBlockingStdout()],
    });
  }

  /** Lines dropped since the start. */
  get dropped(): number {
    return this.#dropped;
  }

  setLevel(level: LogLevel): void {
    this.#logger.level = level;
  }

  write(
    level: LogLevel,
    event: string,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    if (!this.#mayWrite(level)) return;
    this.#logger.log({ level, message: event, ...fields });
  }

  #mayWrite(level: LogLevel): boolean {
    const second = Math.floor(performance.now() / 1000);
    if (second !== this.#second) {
      this.#second = second;
      this.#lines = 0;
    }
    this.#lines++;
    const limit = level === "error" ? this.#maxLines * 2 : this.#maxLines;
    if (
      this.#lines <= limit && process.stdout.writableLength < MAX_BUFFERED_BYTES
    ) return true;
    this.#dropped++;
    return false;
  }
}

/** Writes to standard output without ever waiting for its reader. */
class NonBlockingStdout extends Transport {
  constructor() {
    super();
    // Node writes to pipes synchronously; a reader that stalls would stall the process.
    const { _handle: handle } = process.stdout as unknown as {
      _handle?: { setBlocking?: (blocking: boolean) => void };
    };
    handle?.setBlocking?.(false);
    process.stdout.on("error", () => undefined);
  }

  override log(info: Record<symbol, string>, next: () => void): void {
    process.stdout.write(info[MESSAGE] + "\n");
    next();
  }
}

/** Keeps lines in memory, for tests. */
export class MemoryEventLog implements EventLog {
  readonly lines: {
    level: LogLevel;
    event: string;
    fields: Readonly<Record<string, unknown>>;
  }[] = [];

  write(
    level: LogLevel,
    event: string,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    this.lines.push({ level, event, fields });
  }
}
