/**
 * Holds calls after a stall of the process until the target list has been refreshed.
 *
 * A VM may be frozen, suspended or starved of CPU time for some seconds while targets leave. When
 * it resumes, it reads the calls that waited in its sockets before it learns that the targets are
 * leaving. An outage of the store makes the list stale as well but holds no calls, so only a list
 * that is stale because of a stall of the process counts.
 *
 * @module
 */
import { type Clock, sleep } from "heatherarch-core";
import { type LoopStall, LoopStallDetector } from "heatherarch-mesh";

/** Options of {@linkcode TargetListGuard}. */
export interface TargetListGuardOptions {
  readonly clock: Clock;
  /** Usual interval between two ticks of the process, milliseconds. */
  readonly tickIntervalMs: number;
  /** Age up to which the list may be used, milliseconds. */
  readonly maxListAgeMs: number;
  /** Age of this VM's copy of the list, milliseconds. */
  readonly getListAgeMs: () => number;
  /** Called when the guard starts to hold calls, and when it releases them. */
  readonly onChange?: (change: TargetListGuardChange) => void;
}

/** The guard starts to hold calls, or releases them with a fresh list or without one. */
export type TargetListGuardChange =
  | { readonly kind: "held"; readonly lateMs: number; readonly ageMs: number }
  | {
    readonly kind: "freed";
    readonly isFresh: boolean;
    readonly heldMs: number;
  };

/**
 * Longest time for which calls are held, milliseconds, without further stalls. A reachable store
 * responds well within it, and a VM that can't reach the store continues with the list that it has.
 */
const MAX_HOLD_MS = 300;
/**
 * Smaller differences between the wall clock and the monotonic clock come from reading the two at
 * different moments, milliseconds.
 */
const MIN_UNCOUNTED_MS = 50;
/** Interval at which waiting calls check the age of the list, milliseconds. */
const POLL_INTERVAL_MS = 5;

/** Guards one VM against the use of a stale target list. */
export class TargetListGuard {
  readonly #options: TargetListGuardOptions;
  readonly #stallDetector: LoopStallDetector;
  /**
   * Monotonic time since which calls are held. Each further stall moves it forward by its monotonic
   * length. Undefined while calls are not held.
   */
  #heldSinceMs: number | undefined;
  /** Monotonic time at which the process last resumed after a stall. */
  #resumedAtMs = -Infinity;
  /**
   * A list that was read before this time is ignored, because the process was suspended after the
   * read for a time that the monotonic clock missed.
   */
  #validFromMs = -Infinity;

  constructor(options: TargetListGuardOptions) {
    this.#options = options;
    this.#stallDetector = new LoopStallDetector({
      getTickIntervalMs: () => options.tickIntervalMs,
      onStall: (stall) => this.#handleStall(stall),
    });
  }

  /** Must be called in each regular tick of the process. */
  recordTick(): void {
    const { clock } = this.#options;
    this.#stallDetector.recordTick(clock.readMonotonicMs(), clock.readWallMs());
  }

  /** Whether calls are held now. */
  isHoldingCalls(): boolean {
    this.recordTick();
    if (this.#heldSinceMs === undefined) return false;
    const heldMs = this.#nowMs - this.#heldSinceMs;
    const isFresh = this.#isListFresh();
    if (!isFresh && heldMs < MAX_HOLD_MS) return true;
    this.#heldSinceMs = undefined;
    this.#options.onChange?.({ kind: "freed", isFresh, heldMs });
    return false;
  }

  /** Whether the process has stalled since `atMs`. */
  hasStalledSince(atMs: number): boolean {
    this.recordTick();
    return this.#resumedAtMs > atMs;
  }

  /** Resolves when calls may be sent. */
  async awaitFreshList(): Promise<void> {
    while (this.isHoldingCalls()) await sleep(POLL_INTERVAL_MS);
  }

  #handleStall({ lateMs, uncountedMs }: LoopStall): void {
    this.#resumedAtMs = this.#nowMs;
    if (uncountedMs >= MIN_UNCOUNTED_MS) this.#validFromMs = this.#nowMs;
    if (this.#heldSinceMs !== undefined) {
      this.#heldSinceMs += lateMs - uncountedMs;
      return;
    }
    if (this.#isListFresh()) return;
    this.#heldSinceMs = this.#nowMs;
    const ageMs = this.#options.getListAgeMs() + uncountedMs;
    this.#options.onChange?.({ kind: "held", lateMs, ageMs });
  }

  #isListFresh(): boolean {
    const ageMs = this.#options.getListAgeMs();
    return ageMs <= this.#options.maxListAgeMs &&
      this.#nowMs - ageMs >= this.#validFromMs;
  }

  get #nowMs(): number {
    return this.#options.clock.readMonotonicMs();
  }
}
