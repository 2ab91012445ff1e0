/**
 * Readers of the configuration before stores that go silent, on a paused clock.
 *
 * @module
 */
import { mock } from "node:test";
import { ManualClock } from "heatherarch-core";
import {
  type ConfigReadTiming,
  TopicFollower,
  type TopicSlice,
} from "heatherarch-forward";

/** When a store is silent: what reaches it then, or is held as it begins, is never answered. */
export interface SilentPeriod {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Options of {@linkcode measureDelays}. */
export interface ConfigReadsSimulationOptions {
  readonly reads: ConfigReadTiming;
  /** Silences of each reader's store, in the order of their times. */
  readonly stores: readonly (readonly SilentPeriod[])[];
  /** Time for which a reader is followed after the last silence, milliseconds. */
  readonly observationMs: number;
  /** Uniform in [0, 1). */
  readonly drawUnit: () => number;
}

export const TICK_MS = 10;
/** Longest wait for an answer of a store, milliseconds. */
export const REQUEST_TIMEOUT_MS = 1500;
/** Time that a store takes over an answer, milliseconds. */
const RESPONSE_DELAY_MS = 10;
/** A change is acknowledged so long after the store is back, milliseconds. */
const ACK_DELAY_MS = 50;

/** A store that is changed right after its last silence, and serves one reader. */
class SilentStoreSimulation {
  readonly recoveredAtMs: number;
  readonly changedAtMs: number;
  readonly #clock: ManualClock;
  readonly #silentPeriods: readonly SilentPeriod[];

  constructor(clock: ManualClock, silentPeriods: readonly SilentPeriod[]) {
    this.#clock = clock;
    this.#silentPeriods = silentPeriods;
    this.recoveredAtMs = Math.max(
      ...silentPeriods.map(({ untilMs }) => untilMs),
    );
    this.changedAtMs = this.recoveredAtMs + ACK_DELAY_MS;
  }

  load(timeoutMs = REQUEST_TIMEOUT_MS): Promise<TopicSlice<number>> {
    return this.#respond(this.#nowMs, timeoutMs);
  }

  readChanges(
    from: number,
    waitMs: number,
    timeoutMs = REQUEST_TIMEOUT_MS,
  ): Promise<TopicSlice<number>> {
    const untilMs = this.#nowMs + waitMs;
    const responseAtMs = from > 0 || this.changedAtMs > untilMs
      ? untilMs
      : Math.max(this.#nowMs, this.changedAtMs);
    return this.#respond(responseAtMs, waitMs + timeoutMs);
  }

  get #nowMs(): number {
    return this.#clock.readMonotonicMs();
  }

  #respond(atMs: number, timeoutMs: number): Promise<TopicSlice<number>> {
    const requestedAtMs = this.#nowMs;
    const isLost = this.#silentPeriods.some(({ fromMs, untilMs }) =>
      requestedAtMs < untilMs && atMs >= fromMs
    );
    const next = atMs >= this.changedAtMs ? 1 : 0;
    return new Promise((resolve, reject) => {
      setTimeout(
        () => {
          if (isLost) reject(new Error("timeout"));
          else resolve({ entries: [], next });
        },
        isLost ? timeoutMs : atMs - requestedAtMs + RESPONSE_DELAY_MS,
      );
    });
  }
}

/**
 * Times from each store's return until its reader has the change, milliseconds; Infinity for a
 * reader that does not have it in the time for which it is followed.
 */
export async function measureDelays(
  { reads, stores, observationMs, drawUnit }: ConfigReadsSimulationOptions,
): Promise<number[]> {
  mock.timers.enable({ apis: ["setTimeout"] });
  const clock = new ManualClock();
  const delaysMs = stores.map(() => Infinity);
  const followers = stores.map((storeSilentPeriods, index) => {
    const port = new SilentStoreSimulation(clock, storeSilentPeriods);
    const follower: TopicFollower<number> = new TopicFollower<number>({
      name: "configs",
      port,
      clock,
      drawUnit,
      log: { write: () => undefined },
      pollMs: 0,
      ...reads,
      onList: () => undefined,
      onChanges: () => {
        const nowMs = clock.readMonotonicMs();
        if (nowMs < port.changedAtMs) return;
        delaysMs[index] = nowMs - port.recoveredAtMs;
        follower.stop();
      },
    });
    return follower;
  });
  const endMs = Math.max(...stores.flat().map(({ untilMs }) => untilMs)) +
    observationMs;
  try {
    for (const follower of followers) follower.start();
    while (clock.readMonotonicMs() < endMs) {
      clock.advance(TICK_MS);
      mock.timers.tick(TICK_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
  } finally {
    for (const follower of followers) follower.stop();
    mock.timers.reset();
  }
  return delaysMs;
}
