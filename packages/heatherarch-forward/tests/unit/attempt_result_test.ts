import assert from "node:assert/strict";
import { test } from "node:test";
import {
  awaitAttempt,
  buildWithheldExchange,
  type CallContext,
  ForwardMetrics,
  MemoryEventLog,
  TargetHealth,
} from "../../mod.ts";
import { buildIdlePathMonitor, buildRoute, buildTarget } from "./fixtures.ts";

// A withheld request is never sent, so its result tells nothing about the target. Counted as a
// failure it would make the VM avoid a healthy target.
test("a withheld request ends as not sent and does not count as a failure of its target", async () => {
  const health = new TargetHealth();
  const context = {
    nowMs: 0,
    hasEnded: false,
    call: { id: "c", arrivedAtMs: 0 },
    route: buildRoute(),
    dependencies: {
      health,
      pathMonitor: buildIdlePathMonitor(),
      log: new MemoryEventLog(),
      metrics: new ForwardMetrics(),
    },
  } as unknown as CallContext;
  for (let i = 0; i < 10; i++) {
    const result = await awaitAttempt({
      context,
      target: buildTarget("t"),
      exchange: buildWithheldExchange("the request is quarantined"),
      stage: "whole",
    });
    assert.equal(result.kind, "notSent");
  }
  assert.equal(health.isAvoided("t", 0), false);
  assert.equal(health.isReachable("t"), true);
});
