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
export interface Silence {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Options of {@linkcode measureDelays}. */
export interface ConfigReadsWorldOptions {
  readonly reads: ConfigReadTiming;
  /** Silences of each reader's store, in the order of their times. */
  readonly stores: readonly (readonly Silence[])[];
  /** Time for which a reader is followed after the last silence, milliseconds. */
  readonly afterMs: number;
  /** Uniform in [0, 1). */
  readonly drawUnit: () => number;
}

export const TICK_MS = 10;
/** Longest wait for an answer of a store, milliseconds. */
export const REQUEST_TIMEOUT_MS = 1500;
/** Time that a store takes over an answer, milliseconds. */
const ANSWER_MS = 10;
/** A change is acknowledged so long after the store is back, milliseconds. */
const ACK_MS = 50;

/** A store that is changed right after its last silence, and serves one reader. */
class SilentStore {
  readonly backAtMs: number;
  readonly changeAtMs: number;
  readonly #clock: ManualClock;
  readonly #silences: readonly Silence[];

  constructor(clock: ManualClock, silences: readonly Silence[]) {
    this.#clock = clock;
    this.#silences = silences;
    this.backAtMs = Math.max(...silences.map(({ untilMs }) => untilMs));
    this.changeAtMs = this.backAtMs + ACK_MS;
  }

  load(timeoutMs = REQUEST_TIMEOUT_MS): Promise<TopicSlice<number>> {
    return this.#answer(this.#nowMs, timeoutMs);
  }

  readChanges(
    from: number,
    waitMs: number,
    timeoutMs = REQUEST_TIMEOUT_MS,
  ): Promise<TopicSlice<number>> {
    const untilMs = this.#nowMs + waitMs;
    const answerAtMs = from > 0 || this.changeAtMs > untilMs
      ? untilMs
      : Math.max(this.#nowMs, this.changeAtMs);
    return this.#answer(answerAtMs, waitMs + timeoutMs);
  }

  get #nowMs(): number {
    return this.#clock.readMonotonicMs();
  }

  #answer(atMs: number, timeoutMs: number): Promise<TopicSlice<number>> {
    const askedAtMs = this.#nowMs;
    const isLost = this.#silences.some(({ fromMs, untilMs }) =>
      askedAtMs < untilMs && atMs >= fromMs
    );
    const next = atMs >= this.changeAtMs ? 1 : 0;
    return new Promise((resolve, reject) => {
      setTimeout(
        () => {
          if (isLost) reject(new Error("timeout"));
          else resolve({ entries: [], next });
        },
        isLost ? timeoutMs : atMs - askedAtMs + ANSWER_MS,
      );
    });
  }
}

/**
 * Times from each store's return until its reader has the change, milliseconds; Infinity for a
 * reader that does not have it in the time for which it is followed.
 */
export async function measureDelays(
  { reads, stores, afterMs, drawUnit }: ConfigReadsWorldOptions,
): Promise<number[]> {
  mock.timers.enable({ apis: ["setTimeout"] });
  const clock = new ManualClock();
  const delaysMs = stores.map(() => Infinity);
  const followers = stores.map((silences, index) => {
    const port = new SilentStore(clock, silences);
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
        if (nowMs < port.changeAtMs) return;
        delaysMs[index] = nowMs - port.backAtMs;
        follower.stop();
      },
    });
    return follower;
  });
  const endMs = Math.max(...stores.flat().map(({ untilMs }) => untilMs)) +
    afterMs;
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
