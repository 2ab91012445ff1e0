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

/** Options of {@linkcode LoopStallDetector}. */
export interface LoopStallDetectorOptions {
  /** Longest time between two turns of a loop that runs, milliseconds. */
  readonly getTickIntervalMs: () => number;
  /** Called when the loop runs again. */
  readonly onStall?: (standstill: LoopStall) => void;
}

/** A time in which the loop did not run. */
export interface LoopStall {
  /** All of it, milliseconds. */
  readonly lateMs: number;
  /** The part that the monotonic clock did not count: the machine was suspended. */
  readonly uncountedMs: number;
}

/** Lateness of timers beyond which the loop is taken to have stood still, milliseconds. */
const TIMER_TOLERANCE_MS = 150;

/** Watches one loop by the times of its turns. */
export class LoopStallDetector {
  readonly #options: LoopStallDetectorOptions;
  #lastTickMs: number | undefined;
  #lastTickWallMs = 0;
  #stallMs = 0;

  constructor(options: LoopStallDetectorOptions) {
    this.#options = options;
  }

  /**
   * Time for which what is read in this turn may have waited, milliseconds; 0 where the loop ran.
   * To be called in each turn that handles something. All that a late turn reads counts as late.
   * A wall clock that was set forward looks like a suspended machine: a word is then taken for
   * older than it is, which costs a reading of the store.
   */
  recordTick(nowMs: number, wallMs: number): number {
    const gapMs = nowMs - (this.#lastTickMs ?? nowMs);
    const wallGapMs = this.#lastTickMs === undefined
      ? 0
      : wallMs - this.#lastTickWallMs;
    this.#lastTickMs = nowMs;
    this.#lastTickWallMs = wallMs;
    const lateMs = Math.max(gapMs, wallGapMs);
    if (lateMs > this.#options.getTickIntervalMs() + TIMER_TOLERANCE_MS) {
      this.#stallMs = lateMs;
      this.#options.onStall?.({ lateMs, uncountedMs: lateMs - gapMs });
    }
    return this.#stallMs;
  }

  /** What waited has been read. */
  clear(): void {
    this.#stallMs = 0;
  }
}
