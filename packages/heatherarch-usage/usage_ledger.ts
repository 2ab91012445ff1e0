/**
 * The windows whose counts are final, folded from a stream of the log. Counts are written there before
 * they are reported for the first time, and the first record of a window is the valid one. Whoever
 * reports a window, however often, therefore reports the same counts.
 *
 * A log that comes back from a copy may have lost records of windows that were reported. Whoever goes
 * on writes first which windows nobody makes final any more.
 *
 * @module
 */
import { assertInvariant } from "heatherarch-core";
import type { UsageCounts } from "./usage_collection.ts";

/** A record of the stream: the final counts of a window. */
export interface UsageRecord {
  readonly type: "usage";
  readonly window: number;
  readonly counts: UsageCounts;
  /** Epoch of the log in which it was written; 0 by default. */
  readonly epoch?: number;
}

/** A record of the stream: windows up to this one may have been reported with counts that are lost. */
export interface UsageGapRecord {
  readonly type: "usageGap";
  readonly window: number;
  /** Epoch of the log in which it was written. */
  readonly epoch: number;
}

/** A window that may be reported. */
export interface FinalUsage {
  readonly window: number;
  readonly counts: UsageCounts;
}

/** Options of {@linkcode UsageLedger}. */
export interface UsageLedgerOptions {
  readonly windowMs: number;
  /** Time after the end of a window at which its counts are usually complete, milliseconds. */
  readonly settleMs: number;
  /** Time after the end of a window at which its report is due, milliseconds. */
  readonly lateMs: number;
}

/** Share of the time until a report is due after which missing counts are not awaited. */
const URGENT_SHARE = 0.6;
/** Windows that are kept to be reported again. */
const MAX_WINDOWS = 16;

/** Windows of one stream, and which of them are due. */
export class UsageLedger {
  readonly #options: UsageLedgerOptions;
  readonly #final = new Map<number, UsageCounts>();
  readonly #reported = new Set<number>();
  #firstWindow: number | undefined;
  #lastFinal = -Infinity;
  /** Epoch in which the last record was written; undefined if none was read. */
  #lastEpoch: number | undefined;

  constructor(options: UsageLedgerOptions) {
    this.#options = options;
  }

  /** Returns the window that contains a time, in milliseconds since the Unix epoch. */
  findWindow(unixMs: number): number {
    return Math.floor(unixMs / this.#options.windowMs);
  }

  /** Time at which a window ends, milliseconds since the Unix epoch. */
  getEndMs(window: number): number {
    return (window + 1) * this.#options.windowMs;
  }

  /** Applies a record of the stream. Records of other kinds are ignored. */
  applyRecord(data: unknown): void {
    if (isUsageGapRecord(data)) {
      this.#lastEpoch = data.epoch;
      this.#lastFinal = Math.max(this.#lastFinal, data.window);
      return;
    }
    if (!isUsageRecord(data)) return;
    const { window, counts, epoch = 0 } = data;
    this.#lastEpoch = epoch;
    // Windows become final in their order, so this one is a repetition.
    if (window <= this.#lastFinal) return;
    this.#lastFinal = window;
    this.#final.set(window, counts);
    if (this.#final.size > MAX_WINDOWS) {
      this.#final.delete(Math.min(...this.#final.keys()));
    }
  }

  /**
   * Begins to report with the window that contains `unixMs`. If the stream was not read from its
   * start and has no record left, an earlier window may be final with counts that are unknown here.
   */
  beginAt(unixMs: number): void {
    this.#firstWindow ??= this.findWindow(unixMs);
  }

  /**
   * Returns the record that has to be written before further windows become final in this epoch of
   * the log; undefined if none has to be.
   */
  buildGapRecord(epoch: number, unixMs: number): UsageGapRecord | undefined {
    const isContinued = this.#lastEpoch === undefined ||
      this.#lastEpoch === epoch;
    if (isContinued) return undefined;
    const window = Math.max(this.#lastFinal, this.findWindow(unixMs) - 1);
    return { type: "usageGap", window, epoch };
  }

  /** Returns the next window whose counts should become final; undefined if none is over. */
  findNextWindow(unixMs: number): number | undefined {
    const { windowMs, settleMs, lateMs } = this.#options;
    const ended = this.findWindow(unixMs - settleMs) - 1;
    const first = Math.max(
      this.#lastFinal === -Infinity
        ? this.#firstWindow ?? Infinity
        : this.#lastFinal + 1,
      // The counts of a window that ended long ago are no longer known.
      ended - Math.ceil(2 * lateMs / windowMs),
    );
    return first <= ended ? first : undefined;
  }

  /** Whether the counts of a window must become final even if some are missing. */
  isUrgent(window: number, unixMs: number): boolean {
    const { lateMs } = this.#options;
    return unixMs - this.getEndMs(window) >= lateMs * URGENT_SHARE;
  }

  /** Lists the final windows that this VM has not reported, in their order. */
  listUnreported(): FinalUsage[] {
    return [...this.#final]
      .filter(([window]) => !this.#reported.has(window))
      .map(([window, counts]) => ({ window, counts }));
  }

  /** Records that the platform has accepted the report of a window. */
  recordReport(window: number): void {
    assertInvariant(
      this.#final.has(window),
      "usage-final-before-report",
      `window ${window}`,
    );
    this.#reported.add(window);
    for (const old of this.#reported) {
      if (!this.#final.has(old)) this.#reported.delete(old);
    }
  }

  /** Number of the last window that this VM has reported; undefined if it has reported none. */
  get lastReported(): number | undefined {
    return [...this.#reported].at(-1);
  }

  /** Number of the last final window; undefined if none is known. */
  get lastFinal(): number | undefined {
    return this.#lastFinal === -Infinity ? undefined : this.#lastFinal;
  }
}

function isUsageRecord(data: unknown): data is UsageRecord {
  const record = data as Partial<UsageRecord> | null;
  return record?.type === "usage" && Number.isSafeInteger(record.window) &&
    typeof record.counts === "object" && record.counts !== null;
}

function isUsageGapRecord(data: unknown): data is UsageGapRecord {
  const record = data as Partial<UsageGapRecord> | null;
  return record?.type === "usageGap" && Number.isSafeInteger(record.window) &&
    Number.isSafeInteger(record.epoch);
}
