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
import { buildTarget } from "./fixtures.ts";

// A request that is held back says nothing of the target that it was meant for.
test("what is withheld ends as not sent and is not held against its target", async () => {
  const health = new TargetHealth();
  const run = {
    nowMs: 0,
    hasEnded: false,
    call: { id: "c", arrivedAtMs: 0 },
    dependencies: {
      health,
      log: new MemoryEventLog(),
      metrics: new ForwardMetrics(),
    },
  } as unknown as CallContext;
  for (let i = 0; i < 10; i++) {
    const end = await awaitAttempt({
      run,
      target: buildTarget("t"),
      exchange: buildWithheldExchange("the request is quarantined"),
      stage: "whole",
    });
    assert.equal(end.kind, "notSent");
  }
  assert.equal(health.isAvoided("t", 0), false);
  assert.equal(health.isReachable("t"), true);
});
