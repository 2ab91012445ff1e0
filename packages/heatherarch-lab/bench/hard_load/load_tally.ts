/**
 * Counts the calls of a simulation of loads that were in time.
 *
 * @module
 */
import type { LoadKind } from "./load_model.ts";

/** Shares of calls and of work, 0 to 1. */
export interface LoadSummary {
  /** Calls with a response within the latency objective. */
  readonly inTime: number;
  readonly inTimeByKind: Readonly<Record<string, number>>;
  readonly worstKind: number;
  /** Share of the work that was done for calls whose clients had given up. */
  readonly vain: number;
}

/** Responses by kind of call. */
export class LoadTally {
  readonly #counts = new Map<string, { responses: number; inTime: number }>();
  #workMs = 0;
  #vainMs = 0;

  /** Records a response that took `tookMs`, for a call with `workMs` of work. */
  record(kind: LoadKind, tookMs: number, workMs: number): void {
    const count = this.#counts.get(kind.name) ?? { responses: 0, inTime: 0 };
    this.#counts.set(kind.name, count);
    count.responses++;
    if (tookMs <= kind.aimMs) count.inTime++;
    this.#workMs += workMs;
    if (tookMs > kind.timeoutMs) this.#vainMs += workMs;
  }

  /** Summarizes all responses. */
  summarize(): LoadSummary {
    const counts = [...this.#counts.values()];
    const responses = counts.reduce((sum, count) => sum + count.responses, 0);
    const inTime = counts.reduce((sum, count) => sum + count.inTime, 0);
    const inTimeByKind = Object.fromEntries(
      [...this.#counts].map(([name, count]) => [
        name,
        count.inTime / count.responses,
      ]),
    );
    return {
      inTime: inTime / responses,
      inTimeByKind,
      worstKind: Math.min(...Object.values(inTimeByKind)),
      vain: this.#vainMs / this.#workMs,
    };
  }
}
