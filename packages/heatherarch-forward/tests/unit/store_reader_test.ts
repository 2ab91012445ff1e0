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

const TIMING = planConfigReads({
  configBoundMs: 2000,
  configWaitMs: 1000,
  requestTimeoutMs: 1500,
});

function createRefusingTopic(onRead?: () => void): KeyedTopicPort<never> {
  const refuse = (): Promise<never> => {
    onRead?.();
    return Promise.reject(new Error("status 503"));
  };
  return { load: refuse, readChanges: refuse };
}

/** Creates a reader whose reads all fail at once, with only the dependencies that it then uses. */
function createReaderOfRefusingStore(
  reads: ("configs" | "targets")[] = [],
): StoreReader {
  const options: Partial<StoreReaderOptions> = {
    configTopic: createRefusingTopic(() => reads.push("configs")),
    targetTopic: createRefusingTopic(() => reads.push("targets")),
    configReadTiming: TIMING,
    targetPollMs: 700,
    getFeedValidAtMs: () => -Infinity,
    hasStalledSince: () => true,
    clock: new ManualClock(),
    log: { write: () => undefined },
    metrics: new ForwardMetrics(),
    activeConfig: new ActiveConfig({ clock: new ManualClock() }),
    directory: new TargetDirectory(),
  };
  return new StoreReader(options as StoreReaderOptions);
}

// A VM that became a hub, and thereby a coordinator, kept the long retry pauses of other VMs.
test("a VM that becomes a coordinator retries as often as the other coordinators", async () => {
  const pauses: number[] = [];
  const timers = mock.method(
    globalThis,
    "setTimeout",
    (_: unknown, ms: number) => void pauses.push(ms),
  );
  try {
    const reader = createReaderOfRefusingStore();
    const state = { isActive: true, isConfigUnconfirmed: false };
    reader.setActive({ ...state, isCoordinator: false });
    reader.setActive({ ...state, isCoordinator: true });
    reader.start();
    await new Promise((resolve) => setImmediate(resolve));
    assert.deepEqual(pauses, [TIMING.retryMs, TIMING.retryMs]);
  } finally {
    timers.mock.restore();
  }
});

// Hubs whose own reads fail can't show that the configuration is the newest one.
test("a VM reads the configuration itself while no hub confirms it, and not the target list", async () => {
  for (const isConfigUnconfirmed of [true, false]) {
    const reads: ("configs" | "targets")[] = [];
    const timers = mock.method(globalThis, "setTimeout", () => undefined);
    try {
      const reader = createReaderOfRefusingStore(reads);
      const state = { isActive: false, isCoordinator: false };
      reader.setActive({ ...state, isConfigUnconfirmed });
      reader.start();
      await new Promise((resolve) => setImmediate(resolve));
    } finally {
      timers.mock.restore();
    }
    assert.deepEqual(reads, isConfigUnconfirmed ? ["configs"] : []);
  }
});
