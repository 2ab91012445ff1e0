/**
 * In-memory stand-in for the platform's log, with the failures that users of the platform have
 * reported.
 *
 * @module
 */
import { type Clock, Random, RuntimeClock, sleep } from "heatherarch-core";
import {
  type LogPort,
  type LogRecord,
  type LogSlice,
  LogUnavailableError,
  type ReadOptions,
} from "heatherarch-log";

/** Simulated failures of the log. */
export interface LogFaults {
  /** Whether every read and append fails. */
  down: boolean;
  /** Delay added to each response. */
  slowMs: number;
  /** Share of appends that take effect but whose response is lost. */
  loseAnswerShare: number;
  /** Share of appends that take effect twice. */
  duplicateShare: number;
  /** Maximum number of records kept per stream. */
  retainRecords: number;
}

/** Options of {@linkcode MemoryLog}. */
export interface MemoryLogOptions {
  readonly clock?: Clock;
  readonly seed?: number;
  /** Maximum rate of appends over all streams; 0 for no limit. */
  readonly appendsPerSecond?: number;
  /** Range of the time that an append takes, milliseconds. */
  readonly appendMs?: { readonly low: number; readonly high: number };
}

interface LogStream {
  records: LogRecord[];
  next: number;
  waiters: Set<() => void>;
}

const NO_LOG_FAULTS: LogFaults = {
  down: false,
  slowMs: 0,
  loseAnswerShare: 0,
  duplicateShare: 0,
  retainRecords: Infinity,
};

/** In-memory log with named append-only streams. */
export class MemoryLog implements LogPort {
  readonly faults: LogFaults = { ...NO_LOG_FAULTS };
  readonly #options: MemoryLogOptions;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #streams = new Map<string, LogStream>();
  #appendCount = 0;
  #nextSlotMs = 0;

  constructor(options: MemoryLogOptions = {}) {
    this.#options = options;
    this.#clock = options.clock ?? new RuntimeClock();
    this.#random = new Random(options.seed ?? 1);
  }

  /** Number of records appended, duplicates included. */
  get appendCount(): number {
    return this.#appendCount;
  }

  async append(stream: string, data: unknown): Promise<number> {
    this.#throwIfDown();
    await this.#delayAppend();
    this.#throwIfDown();
    const offset = this.appendWithoutFaults(stream, data);
    if (this.#random.drawUnit() < this.faults.duplicateShare) {
      this.appendWithoutFaults(stream, data);
    }
    if (this.#random.drawUnit() < this.faults.loseAnswerShare) {
      throw new LogUnavailableError(
        "response lost after the append took effect",
      );
    }
    if (this.faults.slowMs > 0) await sleep(this.faults.slowMs);
    return offset;
  }

  async read(
    stream: string,
    from: number,
    options: ReadOptions = {},
  ): Promise<LogSlice> {
    this.#throwIfDown();
    if (this.faults.slowMs > 0) await sleep(this.faults.slowMs);
    const { maxRecords = 1000, waitMs = 0 } = options;
    const entry = this.#getStream(stream);
    if (from >= entry.next && waitMs > 0) await waitForRecord(entry, waitMs);
    this.#throwIfDown();
    return this.readWithoutFaults(stream, from, maxRecords);
  }

  /** Appends immediately, without simulated delays or failures. */
  appendWithoutFaults(stream: string, data: unknown): number {
    const entry = this.#getStream(stream);
    const offset = entry.next++;
    const copy = JSON.parse(JSON.stringify(data)) as unknown;
    entry.records.push({
      offset,
      appendedAtMs: this.#clock.readWallMs(),
      data: copy,
    });
    this.#appendCount++;
    this.#trim(entry);
    for (const wake of [...entry.waiters]) wake();
    return offset;
  }

  /** Reads immediately, without simulated delays or failures. */
  readWithoutFaults(stream: string, from: number, maxRecords = 1000): LogSlice {
    const entry = this.#getStream(stream);
    this.#trim(entry);
    const first = entry.next - entry.records.length;
    const start = Math.max(0, from - first);
    return {
      records: entry.records.slice(start, start + maxRecords),
      first,
      next: entry.next,
    };
  }

  #trim(entry: LogStream): void {
    const surplus = entry.records.length - this.faults.retainRecords;
    if (surplus > 0) entry.records.splice(0, surplus);
  }

  #getStream(name: string): LogStream {
    let entry = this.#streams.get(name);
    if (entry === undefined) {
      entry = { records: [], next: 0, waiters: new Set() };
      this.#streams.set(name, entry);
    }
    return entry;
  }

  #throwIfDown(): void {
    if (this.faults.down) throw new LogUnavailableError("down");
  }

  async #delayAppend(): Promise<void> {
    const { appendsPerSecond = 0, appendMs } = this.#options;
    let waitMs = appendMs
      ? this.#random.drawInteger(appendMs.low, appendMs.high)
      : 0;
    if (appendsPerSecond > 0) {
      const nowMs = this.#clock.readMonotonicMs();
      this.#nextSlotMs = Math.max(nowMs, this.#nextSlotMs) +
        1000 / appendsPerSecond;
      waitMs += this.#nextSlotMs - nowMs;
    }
    if (waitMs > 0) await sleep(waitMs);
  }
}

function waitForRecord(entry: LogStream, waitMs: number): Promise<void> {
  return new Promise((resolve) => {
    const wake = (): void => {
      clearTimeout(timer);
      entry.waiters.delete(wake);
      resolve();
    };
    const timer = setTimeout(wake, waitMs);
    entry.waiters.add(wake);
  });
}
