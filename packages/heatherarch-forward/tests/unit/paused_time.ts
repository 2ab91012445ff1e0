/**
 * Time that passes only as a test advances it, so that a process without a processor judges the same.
 *
 * @module
 */
import type { TestContext } from "node:test";
import { ManualClock } from "heatherarch-core";

/** Replaces timers and the monotonic clock of the process until the end of a test. */
export class PausedTime {
  readonly #clock = new ManualClock();
  readonly #timers: TestContext["mock"]["timers"];

  constructor({ mock }: Pick<TestContext, "mock">) {
    this.#timers = mock.timers;
    this.#timers.enable({ apis: ["setTimeout", "setInterval"] });
    mock.method(performance, "now", () => this.#clock.readMonotonicMs());
  }

  /** Monotonic time, milliseconds. */
  get nowMs(): number {
    return this.#clock.readMonotonicMs();
  }

  /** Advances the time by steps of a millisecond, and runs after each what became due by it. */
  async advance(ms: number): Promise<void> {
    for (let i = 0; i < ms; i++) {
      this.#clock.advance(1);
      this.#timers.tick(1);
      // Timers that don't count stalls call back an iteration of the event loop later.
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}
