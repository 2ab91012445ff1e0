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

interface Change {
  readonly atMs: number;
  readonly sequences: number;
  readonly prefillTokens: number;
}

interface TargetRecord {
  outstanding: number;
  /** Running mean of the gaps between tokens of this VM's streams, milliseconds. */
  gapMs: number;
  gapAtMs: number;
  changes: Change[];
}

/** Work that has been started and may be ended once. */
export interface TrackedWork {
  /** The first token has arrived: the prompt is no longer pending. */
  notePrefilled(nowMs: number): void;
  /** Tokens arrived `gapMs` after the ones before them. */
  noteGap(gapMs: number, nowMs: number): void;
  end(nowMs: number): void;
}

/** Options of {@linkcode LoadTracker}. */
export interface LoadTrackerOptions {
  /** How far reports lag behind what they describe, milliseconds. */
  readonly reportLagMs: number;
}

const KEEP_MS = 10_000;
/** How long an observed gap counts. */
const GAP_KEPT_MS = 1000;
const GAP_RATE = 0.02;

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
    this.#add(record, { atMs: nowMs, sequences: 1, prefillTokens });
    let pending = prefillTokens;
    let open = true;
    return {
      notePrefilled: (atMs) => {
        if (pending === 0) return;
        this.#add(record, { atMs, sequences: 0, prefillTokens: -pending });
        pending = 0;
      },
      noteGap: (gapMs, atMs) => noteGap(record, gapMs, atMs),
      end: (atMs) => {
        if (!open) return;
        open = false;
        record.outstanding--;
        this.#add(record, { atMs, sequences: -1, prefillTokens: -pending });
      },
    };
  }

  /** Requests of this VM that a target has not finished. */
  countOutstanding(target: string): number {
    return this.#targets.get(target)?.outstanding ?? 0;
  }

  /** Mean gap between tokens that this VM sees at a target; undefined without a fresh one. */
  readGapMs(target: string, nowMs: number): number | undefined {
    const record = this.#targets.get(target);
    if (record === undefined || nowMs - record.gapAtMs > GAP_KEPT_MS) {
      return undefined;
    }
    return record.gapMs;
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

  #add(record: TargetRecord, change: Change): void {
    const { changes } = record;
    changes.push(change);
    if (changes.length % 64 !== 0) return;
    const limit = change.atMs - KEEP_MS;
    const kept = changes.findIndex((entry) => entry.atMs >= limit);
    if (kept > 0) changes.splice(0, kept);
  }

  #getRecord(target: string): TargetRecord {
    let record = this.#targets.get(target);
    if (record === undefined) {
      record = { outstanding: 0, gapMs: 0, gapAtMs: -Infinity, changes: [] };
      this.#targets.set(target, record);
    }
    return record;
  }
}

function noteGap(record: TargetRecord, gapMs: number, nowMs: number): void {
  const fresh = nowMs - record.gapAtMs > GAP_KEPT_MS;
  record.gapMs = fresh
    ? gapMs
    : record.gapMs + (gapMs - record.gapMs) * GAP_RATE;
  record.gapAtMs = nowMs;
}
