/**
 * Records the usage of client accounts on this VM.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import type { UsageMeter } from "heatherarch-usage";

/** Options of {@linkcode UsageRecorder}. */
export interface UsageRecorderOptions {
  readonly meter: UsageMeter;
  readonly clock: Pick<Clock, "readWallMs">;
  /** Length of a window, milliseconds. */
  readonly windowMs: number;
}

/** Records which calls have begun to run. */
export class UsageRecorder {
  readonly #options: UsageRecorderOptions;

  constructor(options: UsageRecorderOptions) {
    this.#options = options;
  }

  /** Records that a call of an account begins to run now. Returns a function that takes it back. */
  recordRun(account: string): () => void {
    const { meter, clock, windowMs } = this.#options;
    const window = Math.floor(clock.readWallMs() / windowMs);
    meter.add(window, account);
    return () => meter.remove(window, account);
  }
}
