/**
 * Clocks. All code reads the time through this module. Tests that use the mock timers of
 * `node:test` replace the monotonic clock, since mock timers do not cover `performance.now`.
 *
 * @module
 */
/** Clock. All values are in milliseconds. */
export interface Clock {
  /** Reads the wall clock, milliseconds since the Unix epoch. It may jump. */
  readWallMs(): number;
  /** Reads the monotonic clock, milliseconds from an arbitrary origin. It never goes back. */
  readMonotonicMs(): number;
  /**
   * Reads a clock that, unlike the monotonic one, also counts the time for which the machine is
   * suspended, milliseconds from an arbitrary origin. It never goes back.
   */
  readBootMs(): number;
}

/** Smallest difference between the wall clock and the monotonic one that counts as a suspension. */
const MIN_SUSPENSION_MS = 50;

/** Clock of the JavaScript runtime. */
export class RuntimeClock implements Clock {
  #bootMs = 0;
  #readAtMonotonicMs = performance.now();
  #readAtWallMs = Date.now();

  readWallMs(): number {
    return Date.now();
  }

  readMonotonicMs(): number {
    return performance.now();
  }

  /**
   * The runtime has no access to the system's boot clock. A suspension shows as a wall clock that
   * moved ahead of the monotonic one since the last read, as does a wall clock that is set forward.
   */
  readBootMs(): number {
    const monotonicMs = this.readMonotonicMs();
    const wallMs = this.readWallMs();
    const elapsedMs = monotonicMs - this.#readAtMonotonicMs;
    const elapsedWallMs = wallMs - this.#readAtWallMs;
    const isSuspended = elapsedWallMs - elapsedMs >= MIN_SUSPENSION_MS;
    this.#bootMs += isSuspended ? elapsedWallMs : elapsedMs;
    this.#readAtMonotonicMs = monotonicMs;
    this.#readAtWallMs = wallMs;
    return this.#bootMs;
  }
}

/** Clock for tests. It only advances on request, and its wall clock can jump separately. */
export class ManualClock implements Clock {
  #monotonicMs = 0;
  #suspendedMs = 0;
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

  readBootMs(): number {
    return this.#monotonicMs + this.#suspendedMs;
  }

  /** Suspends the machine for `ms`, which the monotonic clock does not count. */
  suspend(ms: number): void {
    this.#suspendedMs += ms;
    this.#wallOffsetMs += ms;
  }

  /** Advances all clocks by `ms`. */
  advance(ms: number): void {
    this.#monotonicMs += ms;
  }

  /** Moves only the wall clock, forward or back. */
  jumpWall(ms: number): void {
    this.#wallOffsetMs += ms;
  }
}

/** Resolves after `ms` milliseconds. Uses the timers of the runtime. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
