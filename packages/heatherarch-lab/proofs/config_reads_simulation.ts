/**
 * Simulation, on a manual clock, of configuration reads from stores that stop responding at times.
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

/**
 * Time in which a store does not respond. Requests that arrive in this time, or are waiting when it
 * begins, never get a response.
 */
export interface SilentPeriod {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Options of {@linkcode measureDelays}. */
export interface ConfigReadsSimulationOptions {
  readonly reads: ConfigReadTiming;
  /** Silent periods of each reader's store, in order of time. */
  readonly stores: readonly (readonly SilentPeriod[])[];
  /** Time for which readers are observed after the last silent period. */
  readonly observationMs: number;
  /** Returns a number in [0, 1). */
  readonly drawUnit: () => number;
}

/** Step of the simulated clock. */
export const TICK_MS = 10;
/** Timeout of a request to a store. */
export const REQUEST_TIMEOUT_MS = 1500;
/** Latency of a store's response. */
const RESPONSE_DELAY_MS = 10;
/** Time from the recovery of a store until it acknowledges a change. */
const ACK_DELAY_MS = 50;

/** A store with one reader, whose configuration changes right after its last silent period. */
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
 * Measures the time in milliseconds from each store's recovery until its reader has the change, or
 * Infinity if the reader does not get it within the observation time.
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
