import assert from "node:assert/strict";
import { test } from "node:test";
import { computeMinRoundIntervalMs } from "../../mod.ts";

test("a few VMs tell of their work before the next prompt is placed", () => {
  // 150 prompts a second at six VMs: one in 7 ms.
  assert.ok(computeMinRoundIntervalMs(false, 5) <= 7);
});

test("links and hubs are spared", () => {
  assert.equal(computeMinRoundIntervalMs(false, 18), 18);
  // Fifty members that all have news send a hub 2,500 messages a second.
  assert.equal(computeMinRoundIntervalMs(true, 2), 20);
});
