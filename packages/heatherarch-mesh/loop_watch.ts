/**
 * Notices that the event loop did not run for a while: the machine was suspended, frozen or starved
 * of processor time, or a turn took long. What is read next may have waited in its socket for all that time, so word that
 * says how old it is has to be taken for as much older. Pure: time comes in with each turn.
 *
 * Pattern: a VM stands still for two seconds, its hub is lost meanwhile, and the hub's last word,
 * sent before that, is read afterwards. Taken for fresh, it would be relied on for as long again,
 * beyond the time for which a leaving target may get work.
 *
 * @module
 */

/** Options of {@linkcode LoopWatch}. */
export interface LoopWatchOptions {
  /** Longest time between two turns of a loop that runs, milliseconds. */
  readonly usualMs: () => number;
  /** Called when the loop runs again. */
  readonly onLate?: (standstill: Standstill) => void;
}

/** A time in which the loop did not run. */
export interface Standstill {
  /** All of it, milliseconds. */
  readonly lateMs: number;
  /** The part that the monotonic clock did not count: the machine was suspended. */
  readonly uncountedMs: number;
}

/** Lateness of timers beyond which the loop is taken to have stood still, milliseconds. */
const SLACK_MS = 150;

/** Watches one loop by the times of its turns. */
export class LoopWatch {
  readonly #options: LoopWatchOptions;
  #turnAtMs: number | undefined;
  #turnWallMs = 0;
  #lateMs = 0;

  constructor(options: LoopWatchOptions) {
    this.#options = options;
  }

  /**
   * Time for which what is read in this turn may have waited, milliseconds; 0 where the loop ran.
   * To be called in each turn that handles something. All that a late turn reads counts as late.
   * A wall clock that was set forward looks like a suspended machine: a word is then taken for
   * older than it is, which costs a reading of the store.
   */
  noteTurn(nowMs: number, wallMs: number): number {
    const gapMs = nowMs - (this.#turnAtMs ?? nowMs);
    const wallGapMs = this.#turnAtMs === undefined
      ? 0
      : wallMs - this.#turnWallMs;
    this.#turnAtMs = nowMs;
    this.#turnWallMs = wallMs;
    const lateMs = Math.max(gapMs, wallGapMs);
    if (lateMs > this.#options.usualMs() + SLACK_MS) {
      this.#lateMs = lateMs;
      this.#options.onLate?.({ lateMs, uncountedMs: lateMs - gapMs });
    }
    return this.#lateMs;
  }

  /** What waited has been read. */
  noteCaughtUp(): void {
    this.#lateMs = 0;
  }
}
