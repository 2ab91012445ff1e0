/**
 * Corrects lagging load reports by this VM's own work: what was started or ended after the
 * moment that a report describes.
 *
 * @module
 */
import type { TargetLoad } from "./candidate.ts";

/** A load report of a target. */
export interface LoadReport extends TargetLoad {
  /** Monotonic time at which the report was taken in. */
  readonly atMs: number;
}

interface LoadChange {
  readonly atMs: number;
  readonly sequences: number;
  readonly prefillTokens: number;
}

interface TargetRecord {
  outstanding: number;
  /** Running mean of the gaps between tokens of this VM's streams, milliseconds. */
  tokenGapMs: number;
  tokenGapAtMs: number;
  changes: LoadChange[];
}

/** Work that has been started and may be ended once. */
export interface TrackedWork {
  /** The first token has arrived: the prompt is no longer pending. */
  recordFirstToken(nowMs: number): void;
  /** Tokens arrived `gapMs` after the ones before them. */
  recordTokenGap(gapMs: number, nowMs: number): void;
  end(nowMs: number): void;
}

/** Options of {@linkcode LoadTracker}. */
export interface LoadTrackerOptions {
  /** How far reports lag behind what they describe, milliseconds. */
  readonly reportLagMs: number;
}

const CHANGE_RETENTION_MS = 10_000;
/** How long an observed gap counts. */
const TOKEN_GAP_MAX_AGE_MS = 1000;
const TOKEN_GAP_SMOOTHING = 0.02;

/** This VM's own work, by target. */
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
    let open = true;
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
        if (!open) return;
        open = false;
        record.outstanding--;
        this.#addChange(record, {
          atMs,
          sequences: -1,
          prefillTokens: -pending,
        });
      },
    };
  }

  /** Requests of this VM that a target has not finished. */
  countOutstanding(target: string): number {
    return this.#targets.get(target)?.outstanding ?? 0;
  }

  /** Mean gap between tokens that this VM sees at a target; undefined without a fresh one. */
  readTokenGapMs(target: string, nowMs: number): number | undefined {
    const record = this.#targets.get(target);
    if (
      record === undefined || nowMs - record.tokenGapAtMs > TOKEN_GAP_MAX_AGE_MS
    ) {
      return undefined;
    }
    return record.tokenGapMs;
  }

  /** Best estimate of a target's load now. */
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
    const limit = change.atMs - CHANGE_RETENTION_MS;
    const kept = changes.findIndex((entry) => entry.atMs >= limit);
    if (kept > 0) changes.splice(0, kept);
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
  const fresh = nowMs - record.tokenGapAtMs > TOKEN_GAP_MAX_AGE_MS;
  record.tokenGapMs = fresh
    ? gapMs
    : record.tokenGapMs + (gapMs - record.tokenGapMs) * TOKEN_GAP_SMOOTHING;
  record.tokenGapAtMs = nowMs;
}
