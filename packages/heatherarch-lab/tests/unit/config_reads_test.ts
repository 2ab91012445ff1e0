import assert from "node:assert/strict";
import { test } from "node:test";
import { computeMaxConfigDelayMs, planConfigReads } from "heatherarch-forward";
import {
  measureDelays,
  REQUEST_TIMEOUT_MS,
  type SilentPeriod,
  TICK_MS,
} from "../../proofs/config_reads_simulation.ts";

/** Share of the bound that is reserved for hubs to forward a change. */
const HUB_BOUND_SHARE = 0.25;

/** Lists silent periods of several lengths that begin and end at every phase of a reader's period. */
function listSilentPeriods(configBoundMs: number): SilentPeriod[] {
  const stepMs = configBoundMs / 40;
  const silentPeriods: SilentPeriod[] = [];
  for (const boundShare of [0.02, 0.3, 0.8, 1.75]) {
    for (let fromMs = stepMs; fromMs < 1.6 * configBoundMs; fromMs += stepMs) {
      silentPeriods.push({
        fromMs,
        untilMs: fromMs + boundShare * configBoundMs,
      });
    }
  }
  return silentPeriods;
}

// Guards against a change that arrives later than its bound. A read that started before or during
// the store's silent period gets no response, and a change waits until that read times out.
for (const configBoundMs of [2000, 3000, 4000, 14_000]) {
  test(`a change after a silent period at any phase is read within a bound of ${configBoundMs} ms`, async () => {
    const reads = planConfigReads({
      configBoundMs,
      configWaitMs: configBoundMs / 2,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
    });
    for (const unit of [0, 0.5]) {
      const delaysMs = await measureDelays({
        reads,
        stores: listSilentPeriods(configBoundMs).map((silence) => [silence]),
        observationMs: 3 * configBoundMs,
        drawUnit: () => unit,
      });
      const longestMs = Math.max(...delaysMs);
      assert.ok(
        longestMs <= configBoundMs * (1 - HUB_BOUND_SHARE) + 5 * TICK_MS,
        `${longestMs} ms`,
      );
    }
  });
}

test("the read timing leaves hubs a quarter of the bound", () => {
  for (const configBoundMs of [200, 2000, 4000, 14_000, 600_000]) {
    const reads = planConfigReads({
      configBoundMs,
      configWaitMs: configBoundMs / 2,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
    });
    assert.ok(
      computeMaxConfigDelayMs(reads) <= configBoundMs * (1 - HUB_BOUND_SHARE),
      `${configBoundMs} ms`,
    );
  }
});
