/**
 * Corrects delayed load reports by this VM's own work that started or ended after the time that a
 * report describes.
 *
 * @module
 */
import type { TargetLoad } from "./candidate.ts";

/** A load report of a target. */
export interface LoadReport extends TargetLoad {
  /** Monotonic time at which the report was received. */
  readonly atMs: number;
}

/** Change of a target's load by this VM's own work. */
interface LoadChange {
  readonly atMs: number;
  readonly sequences: number;
  readonly prefillTokens: number;
}

interface TargetRecord {
  outstanding: number;
  /** Moving average of the gaps between tokens of this VM's streams. */
  tokenGapMs: number;
  tokenGapAtMs: number;
  changes: LoadChange[];
}

/** Work in progress on a target. */
export interface TrackedWork {
  /** Records that the first token arrived, so that the prefill is no longer pending. */
  recordFirstToken(nowMs: number): void;
  /** Records that a token arrived `gapMs` after the previous one. */
  recordTokenGap(gapMs: number, nowMs: number): void;
  /** Ends the work. Further calls have no effect. */
  end(nowMs: number): void;
}

/** Options of {@linkcode LoadTracker}. */
export interface LoadTrackerOptions {
  /** Delay between the state that a report describes and its receipt. */
  readonly reportLagMs: number;
}

const CHANGE_RETENTION_MS = 10_000;
/** An observed gap between tokens is used for this long. */
const TOKEN_GAP_MAX_AGE_MS = 1000;
/** Weight of a new observation in the moving average of gaps. */
const TOKEN_GAP_SMOOTHING = 0.02;

/** Tracks this VM's own work by target. */
export class LoadTracker {
  readonly #reportLagMs: number;
  readonly #targets = new Map<string, TargetRecord>();

  constructor(options: LoadTrackerOptions) {
    this.#reportLagMs = options.reportLagMs;
  }

  /** Starts work on a target. */
  begin(target: string, prefillTokens: number, nowMs: number): TrackedWork {
    const record = this.#getRecord(target);
    record.outstanding++;
    this.#addChange(record, { atMs: nowMs, sequences: 1, prefillTokens });
    let pending = prefillTokens;
    let isOpen = true;
    return {
      recordFirstToken: (atMs) => {
        if (pending === 0) return;
        this.#addChange(record, {
          atMs,
          sequences: 0,
          prefillTokens: -pending,
        });
        pending = 0;
      },
      recordTokenGap: (gapMs, atMs) => updateTokenGap(record, gapMs, atMs),
      end: (atMs) => {
        if (!isOpen) return;
        isOpen = false;
        record.outstanding--;
        this.#addChange(record, {
          atMs,
          sequences: -1,
          prefillTokens: -pending,
        });
      },
    };
  }

  /** Returns the number of requests of this VM that a target has not finished. */
  countOutstanding(target: string): number {
    return this.#targets.get(target)?.outstanding ?? 0;
  }

  /** Returns the mean gap between tokens at a target, or undefined without a recent observation. */
  readTokenGapMs(target: string, nowMs: number): number | undefined {
    const record = this.#targets.get(target);
    if (
      record === undefined || nowMs - record.tokenGapAtMs > TOKEN_GAP_MAX_AGE_MS
    ) {
      return undefined;
    }
    return record.tokenGapMs;
  }

  /** Estimates the current load of a target. */
  estimate(target: string, report: LoadReport | undefined): TargetLoad {
    const record = this.#targets.get(target);
    if (report === undefined) {
      const running = record?.outstanding ?? 0;
      return { running, waiting: 0, pendingPrefillTokens: 0 };
    }
    let { running, pendingPrefillTokens } = report;
    const sinceMs = report.atMs - this.#reportLagMs;
    for (let i = (record?.changes.length ?? 0) - 1; i >= 0; i--) {
      const change = (record as TargetRecord).changes[i];
      if (change.atMs < sinceMs) break;
      running += change.sequences;
      pendingPrefillTokens += change.prefillTokens;
    }
    return {
      running: Math.max(0, running),
      waiting: report.waiting,
      pendingPrefillTokens: Math.max(0, pendingPrefillTokens),
    };
  }

  #addChange(record: TargetRecord, change: LoadChange): void {
    const { changes } = record;
    changes.push(change);
    if (changes.length % 64 !== 0) return;
    const oldestMs = change.atMs - CHANGE_RETENTION_MS;
    const firstKept = changes.findIndex((entry) => entry.atMs >= oldestMs);
    if (firstKept > 0) changes.splice(0, firstKept);
  }

  #getRecord(target: string): TargetRecord {
    let record = this.#targets.get(target);
    if (record === undefined) {
      record = {
        outstanding: 0,
        tokenGapMs: 0,
        tokenGapAtMs: -Infinity,
        changes: [],
      };
      this.#targets.set(target, record);
    }
    return record;
  }
}

function updateTokenGap(
  record: TargetRecord,
  gapMs: number,
  nowMs: number,
): void {
  const isExpired = nowMs - record.tokenGapAtMs > TOKEN_GAP_MAX_AGE_MS;
  record.tokenGapMs = isExpired
    ? gapMs
    : record.tokenGapMs + (gapMs - record.tokenGapMs) * TOKEN_GAP_SMOOTHING;
  record.tokenGapAtMs = nowMs;
}
