import assert from "node:assert/strict";
import { test } from "node:test";
import { computeMinRoundIntervalMs } from "../../mod.ts";

test("a few VMs exchange their work before the next prompt is placed", () => {
  // With 150 prompts per second at six VMs, a prompt arrives every 7 ms.
  assert.ok(computeMinRoundIntervalMs(false, 5) <= 7);
});

test("more links, or hubs as receivers, make rounds less frequent", () => {
  assert.equal(computeMinRoundIntervalMs(false, 18), 18);
  // Fifty members with constant changes send a hub 2,500 messages per second.
  assert.equal(computeMinRoundIntervalMs(true, 2), 20);
});
