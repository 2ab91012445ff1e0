/**
 * The one place where the program reads time. Tests that use the paused clock of `node:test`
 * replace the monotonic source here, since that clock does not cover `performance.now`.
 *
 * @module
 */

/** Source of time. All values are milliseconds. */
export interface Clock {
  /** Wall clock, milliseconds since the Unix epoch. It may jump. */
  readWallMs(): number;
  /** Monotonic clock, milliseconds from an arbitrary origin. It never goes back. */
  readMonotonicMs(): number;
}

/** The runtime's own clocks. */
export class RuntimeClock implements Clock {
  readWallMs(): number {
    return Date.now();
  }

  readMonotonicMs(): number {
    return performance.now();
  }
}

/** A clock that only moves when told to; wall and monotonic time move apart on request. */
export class ManualClock implements Clock {
  #monotonicMs = 0;
  #wallOffsetMs: number;

  constructor(wallStartMs = 1_700_000_000_000) {
    this.#wallOffsetMs = wallStartMs;
  }

  readWallMs(): number {
    return this.#wallOffsetMs + this.#monotonicMs;
  }

  readMonotonicMs(): number {
    return this.#monotonicMs;
  }

  /** Moves both clocks forward by `ms`. */
  advance(ms: number): void {
    this.#monotonicMs += ms;
  }

  /** Moves only the wall clock, either way. */
  jumpWall(ms: number): void {
    this.#wallOffsetMs += ms;
  }
}

/** Resolves after `ms` milliseconds of the runtime's timers. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
