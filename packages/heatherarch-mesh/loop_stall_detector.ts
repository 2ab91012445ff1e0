/**
 * Detects stalls of the event loop: the machine was suspended, frozen or short of processor time,
 * or a tick took long. Data that is read after a stall may have waited in its socket for the whole
 * stall, so a message that states its age counts as older by that time. The detector is pure: each
 * tick receives the time.
 *
 * Failure that this prevents: a VM stalls for two seconds, its hub is lost meanwhile, and the VM
 * reads the hub's last message after the stall. If the message counted as fresh, the VM would rely
 * on it for another two seconds, beyond the time for which a leaving target may get work.
 *
 * @module
 */

/** Options of {@linkcode LoopStallDetector}. */
export interface LoopStallDetectorOptions {
  /** Longest interval between two ticks of a loop that is not stalled, milliseconds. */
  readonly getTickIntervalMs: () => number;
  /** Called when the loop runs again after a stall. */
  readonly onStall?: (stall: LoopStall) => void;
}

/** A period in which the loop did not run. */
export interface LoopStall {
  /** Duration of the stall, milliseconds. */
  readonly lateMs: number;
  /** Part that the monotonic clock did not count, since the machine was suspended, milliseconds. */
  readonly uncountedMs: number;
}

/** Lateness of timers beyond which the loop counts as stalled, milliseconds. */
const TIMER_TOLERANCE_MS = 150;

/** Detects stalls of one event loop by the times of its ticks. */
export class LoopStallDetector {
  readonly #options: LoopStallDetectorOptions;
  #lastTickMs: number | undefined;
  #lastTickWallMs = 0;
  #stallMs = 0;

  constructor(options: LoopStallDetectorOptions) {
    this.#options = options;
  }

  /**
   * Records a tick. Returns the time for which data read in this tick may have waited,
   * milliseconds; 0 without a stall. It must be called in each tick that handles something. All
   * data that a late tick reads counts as late. A wall clock that is set forward looks like a
   * suspended machine. A message then counts as older than it is, which costs one read of the
   * store.
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

  /** Ends the stall. Must be called once the data that waited was read. */
  clear(): void {
    this.#stallMs = 0;
  }
}
