/**
 * How calls ended that were open when a shutdown began, or arrived later.
 *
 * @module
 */

/**
 * `completed` with its response; `refused` before it ran; `ended` by the shutdown with an error, or between
 * two events of a stream that may be resumed; `cut` by the shutdown in the middle of its response; `other`
 * as it would have ended without a shutdown.
 */
export type ShutdownOutcome =
  | "completed"
  | "refused"
  | "ended"
  | "cut"
  | "other";

/** Numbers of calls by kind. */
export type KindCounts = Readonly<Record<string, number>>;

/** Counts the calls of one shutdown. */
export class ShutdownTally {
  readonly #counts = new Map<ShutdownOutcome, Record<string, number>>();

  /** Counts a call. */
  record(kind: string, outcome: ShutdownOutcome): void {
    const counts = this.#counts.get(outcome) ?? {};
    counts[kind] = (counts[kind] ?? 0) + 1;
    this.#counts.set(outcome, counts);
  }

  /** Returns the numbers of calls by outcome and kind. */
  summarize(): Readonly<Partial<Record<ShutdownOutcome, KindCounts>>> {
    return Object.fromEntries(this.#counts);
  }
}
