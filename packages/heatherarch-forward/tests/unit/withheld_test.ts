import assert from "node:assert/strict";
import { test } from "node:test";
import {
  awaitHead,
  buildWithheldExchange,
  type CallRun,
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
    isOver: false,
    call: { id: "c", arrivedAtMs: 0 },
    serving: {
      health,
      log: new MemoryEventLog(),
      metrics: new ForwardMetrics(),
    },
  } as unknown as CallRun;
  for (let i = 0; i < 10; i++) {
    const end = await awaitHead({
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
