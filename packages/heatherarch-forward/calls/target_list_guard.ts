/**
 * Holds calls back after a standstill of the process until the list of targets is known anew.
 *
 * Pattern: a VM is frozen, suspended or starved of processor time for some seconds while targets
 * leave. Calls that waited in its sockets are read at once when it runs again, before any word of
 * the leaving. An outage of the store ages the list as well but stops no call, so only a list that
 * is old because the process itself stood still counts.
 *
 * @module
 */
import { type Clock, sleep } from "heatherarch-core";
import { LoopWatch, type Standstill } from "heatherarch-mesh";

/** Options of {@linkcode TargetListGuard}. */
export interface TargetListGuardOptions {
  readonly clock: Clock;
  /** Pause between two turns of a process that runs, milliseconds. */
  readonly tickIntervalMs: number;
  /** Age up to which the list may be acted on, milliseconds. */
  readonly maxListAgeMs: number;
  /** Age of what this VM knows of the list, milliseconds. */
  readonly getListAgeMs: () => number;
  /** Called when calls are held back, and when they go on. */
  readonly onChange?: (change: TargetListGuardChange) => void;
}

/** Calls are held back from now on, or go on: with a list that is known anew, or without. */
export type TargetListGuardChange =
  | { readonly kind: "held"; readonly lateMs: number; readonly ageMs: number }
  | {
    readonly kind: "freed";
    readonly isFresh: boolean;
    readonly heldMs: number;
  };

/**
 * Time of a running process for which calls are held back, milliseconds: a store in reach answers
 * well within it, and a VM that can't reach the store goes on with what it has.
 */
const MAX_HOLD_MS = 300;
/** Clocks that part by less are read at different moments, milliseconds. */
const MIN_UNCOUNTED_MS = 50;
/** Pause between looks at the list's age, milliseconds. */
const LOOK_MS = 5;

/** The guard of one VM. */
export class TargetListGuard {
  readonly #options: TargetListGuardOptions;
  readonly #watch: LoopWatch;
  /**
   * Monotonic time from which calls are held back, later by each further standstill; undefined
   * while they go on.
   */
  #heldSinceMs: number | undefined;
  /** Monotonic time at which the process last ran again. */
  #resumedAtMs = -Infinity;
  /** Earlier words on the list say nothing: the monotonic clock missed a suspension after them. */
  #validFromMs = -Infinity;

  constructor(options: TargetListGuardOptions) {
    this.#options = options;
    this.#watch = new LoopWatch({
      usualMs: () => options.tickIntervalMs,
      onLate: (standstill) => this.#noteStandstill(standstill),
    });
  }

  /** To be called in each of the process's regular turns. */
  recordTick(): void {
    const { clock } = this.#options;
    this.#watch.noteTurn(clock.readMonotonicMs(), clock.readWallMs());
  }

  /** Whether no call may be sent now. */
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

  /** Whether the process has stood still since then. */
  hasStalledSince(atMs: number): boolean {
    this.recordTick();
    return this.#resumedAtMs > atMs;
  }

  /** Settles when calls may be sent. */
  async awaitFreshList(): Promise<void> {
    while (this.isHoldingCalls()) await sleep(LOOK_MS);
  }

  #noteStandstill({ lateMs, uncountedMs }: Standstill): void {
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
