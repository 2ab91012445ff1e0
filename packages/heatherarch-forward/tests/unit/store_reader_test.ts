import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { ManualClock } from "heatherarch-core";
import {
  ActiveConfig,
  ForwardMetrics,
  type KeyedTopicPort,
  planConfigReads,
  StoreReader,
  type StoreReaderOptions,
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
function createRefused(): StoreReader {
  const options: Partial<StoreReaderOptions> = {
    configTopic: refuseReads(),
    targetTopic: refuseReads(),
    configReadTiming: READS,
    targetPollMs: 700,
    getFeedValidAtMs: () => -Infinity,
    hasStalledSince: () => true,
    clock: new ManualClock(),
    log: { write: () => undefined },
    metrics: new ForwardMetrics(),
    activeConfig: new ActiveConfig(),
    directory: new TargetDirectory(),
  };
  return new StoreReader(options as StoreReaderOptions);
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
    reading.setActive(true, false);
    reading.setActive(true, true);
    reading.start();
    await new Promise((resolve) => setImmediate(resolve));
    assert.deepEqual(pauses, [READS.retryMs, READS.retryMs]);
  } finally {
    timers.mock.restore();
  }
});
