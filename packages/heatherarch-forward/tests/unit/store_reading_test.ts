import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { ManualClock } from "heatherarch-core";
import {
  ActiveConfig,
  ForwardMetrics,
  type KeyedTopicPort,
  planConfigReads,
  StoreReading,
  type StoreReadingOptions,
  TargetDirectory,
} from "../../mod.ts";

const READS = planConfigReads({
  configBoundMs: 2000,
  configWaitMs: 1000,
  requestTimeoutMs: 1500,
});

function refuseReads(): KeyedTopicPort<never> {
  const refuse = (): Promise<never> => Promise.reject(new Error("status 503"));
  return { load: refuse, readChanges: refuse };
}

/** A VM whose reads all fail at once; only what such a VM uses is built. */
function createRefused(): StoreReading {
  const options: Partial<StoreReadingOptions> = {
    configTopic: refuseReads(),
    targetTopic: refuseReads(),
    configReads: READS,
    targetPollMs: 700,
    getToldAtMs: () => -Infinity,
    hasStoodStillSince: () => true,
    clock: new ManualClock(),
    log: { write: () => undefined },
    metrics: new ForwardMetrics(),
    configs: new ActiveConfig(),
    directory: new TargetDirectory(),
  };
  return new StoreReading(options as StoreReadingOptions);
}

// A VM that became a hub went on with the long pauses of one that need not read.
test("a VM that gets a duty reads as often as the others from then on", async () => {
  const pauses: number[] = [];
  const timers = mock.method(
    globalThis,
    "setTimeout",
    (_: unknown, ms: number) => void pauses.push(ms),
  );
  try {
    const reading = createRefused();
    reading.share(true, false);
    reading.share(true, true);
    reading.start();
    await new Promise((resolve) => setImmediate(resolve));
    assert.deepEqual(pauses, [READS.retryMs, READS.retryMs]);
  } finally {
    timers.mock.restore();
  }
});
