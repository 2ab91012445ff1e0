/**
 * Structured log on standard output. It writes one line for each decision, limits the rate of
 * lines, and never blocks.
 *
 * @module
 */
import type { CallShutdown, ShutdownPhase } from "heatherarch-shutdown";
import winston from "winston";
import Transport from "winston-transport";

/** Severity of a line. */
export type LogLevel = "error" | "warn" | "info" | "debug";

/** Writes events as log lines. */
export interface EventLog {
  /** Writes one line, or drops and counts it if the rate limit is exceeded. */
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
  /** Lines per second; they may be written in one burst. */
  readonly maxLinesPerSecond?: number;
}

/**
 * About twice the rate of a small VM under normal load (some 15 calls a second with 4 lines each).
 */
const DEFAULT_MAX_LINES_PER_SECOND = 150;
/** Bytes that may be buffered for the reader of standard output before lines are dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024;
const MESSAGE = Symbol.for("message");

/** Formats an age for the log, in whole milliseconds; null if it is infinite. */
export function formatAge(ageMs: number): number | null {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : null;
}

/** Writes JSON lines to standard output. */
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

  /** Number of lines dropped since the start. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Sets the lowest severity that is written. */
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

/** Writes to standard output without blocking on its reader. */
class NonBlockingStdout extends Transport {
  constructor() {
    super();
    // Node.js writes to pipes synchronously, so a stalled reader would stall the process.
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

/** Returns the phase of a VM's shutdown for a log line; undefined without a shutdown. */
export function findShutdownPhase(
  { phase }: Pick<CallShutdown, "phase">,
): ShutdownPhase | undefined {
  return phase === "running" ? undefined : phase;
}
