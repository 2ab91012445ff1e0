import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { ManualClock } from "heatherarch-core";
import {
  computeConfigDelayMs,
  planConfigReads,
  TopicFollower,
  type TopicSlice,
} from "../../mod.ts";

const TICK_MS = 10;
/** Time that a store takes over an answer, milliseconds. */
const ANSWER_MS = 10;
/** A change is acknowledged so long after the store is back, milliseconds. */
const ACK_MS = 50;
const REQUEST_TIMEOUT_MS = 1500;
/** Part of the bound that is left for hubs to tell a change on. */
const HUB_PART = 0.25;

/** When a store is silent: what reaches it then, or is held as it begins, is never answered. */
interface Silence {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A store that goes silent once, is changed right after it, and serves one reader. */
class SilentStore {
  readonly silence: Silence;
  readonly changeAtMs: number;
  readonly #clock: ManualClock;

  constructor(clock: ManualClock, silence: Silence) {
    this.#clock = clock;
    this.silence = silence;
    this.changeAtMs = silence.untilMs + ACK_MS;
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
    const { fromMs, untilMs } = this.silence;
    const askedAtMs = this.#nowMs;
    const isLost = askedAtMs < untilMs && atMs >= fromMs;
    const hasChange = atMs >= this.changeAtMs;
    return new Promise((resolve, reject) => {
      setTimeout(
        () => {
          if (isLost) reject(new Error("timeout"));
          else resolve({ entries: [], next: hasChange ? 1 : 0 });
        },
        isLost ? timeoutMs : atMs - askedAtMs + ANSWER_MS,
      );
    });
  }
}

/** Longest time from a store's return until a reader has the change, over all silences. */
async function measureLongest(
  configBoundMs: number,
  silences: readonly Silence[],
  drawUnit: () => number,
): Promise<number> {
  mock.timers.enable({ apis: ["setTimeout"] });
  const clock = new ManualClock();
  const delaysMs: number[] = [];
  const followers = silences.map((silence) => {
    const port = new SilentStore(clock, silence);
    const follower: TopicFollower<number> = new TopicFollower<number>({
      name: "configs",
      port,
      clock,
      drawUnit,
      log: { write: () => undefined },
      pollMs: 0,
      ...planConfigReads({
        configBoundMs,
        configWaitMs: configBoundMs / 2,
        requestTimeoutMs: REQUEST_TIMEOUT_MS,
      }),
      onList: () => undefined,
      onChanges: () => {
        const nowMs = clock.readMonotonicMs();
        if (nowMs < port.changeAtMs) return;
        delaysMs.push(nowMs - silence.untilMs);
        follower.stop();
      },
    });
    return follower;
  });
  try {
    for (const follower of followers) follower.start();
    const endMs = Math.max(...silences.map(({ untilMs }) => untilMs)) +
      3 * configBoundMs;
    while (clock.readMonotonicMs() < endMs) {
      clock.advance(TICK_MS);
      mock.timers.tick(TICK_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
  } finally {
    mock.timers.reset();
  }
  assert.equal(delaysMs.length, silences.length, "every reader has the change");
  return Math.max(...delaysMs);
}

/** Silences of several lengths that begin and end at every phase of a reader's period. */
function listSilences(configBoundMs: number): Silence[] {
  const stepMs = configBoundMs / 40;
  const silences: Silence[] = [];
  for (const part of [0.02, 0.3, 0.8, 1.75]) {
    for (let fromMs = stepMs; fromMs < 1.6 * configBoundMs; fromMs += stepMs) {
      silences.push({ fromMs, untilMs: fromMs + part * configBoundMs });
    }
  }
  return silences;
}

// A change had to wait for a read that the store would never answer, longer than its bound.
for (const configBoundMs of [2000, 3000, 4000, 14_000]) {
  test(`a change after a silence of any phase is read within a bound of ${configBoundMs} ms`, async () => {
    const silences = listSilences(configBoundMs);
    for (const unit of [0, 0.5]) {
      const longestMs = await measureLongest(
        configBoundMs,
        silences,
        () => unit,
      );
      assert.ok(
        longestMs <= configBoundMs * (1 - HUB_PART) + 5 * TICK_MS,
        `${longestMs} ms`,
      );
    }
  });
}

test("the planned times leave hubs a quarter of the bound", () => {
  for (const configBoundMs of [200, 2000, 4000, 14_000, 600_000]) {
    const reads = planConfigReads({
      configBoundMs,
      configWaitMs: configBoundMs / 2,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
    });
    assert.ok(
      computeConfigDelayMs(reads) <= configBoundMs * (1 - HUB_PART),
      `${configBoundMs} ms`,
    );
  }
});
