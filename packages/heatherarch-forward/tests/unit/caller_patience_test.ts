import assert from "node:assert/strict";
import { test } from "node:test";
import { computeCallerPatienceMs, computeWaitLimits } from "../../mod.ts";

test("callers wait for two seconds or four aims, whichever is longer", () => {
  assert.equal(computeCallerPatienceMs(300), 1750);
  assert.equal(computeCallerPatienceMs(600), 2150);
});

test("a call waits from its arrival, and not beyond its end", () => {
  const call = { arrivedAtMs: 1000, endAtMs: 7000, aimMs: 600 };
  assert.deepEqual(computeWaitLimits(call), {
    sinceMs: 1000,
    leavesAtMs: 3150,
  });
  assert.equal(computeWaitLimits({ ...call, endAtMs: 2000 }).leavesAtMs, 2000);
});

test("a stream that broke off after seconds is read again as one that can be on time", () => {
  const limits = computeWaitLimits({
    arrivedAtMs: 1000,
    endAtMs: 7000,
    aimMs: 600,
    brokeAtMs: 4500,
  });
  assert.deepEqual(limits, { sinceMs: 4500, leavesAtMs: 6650 });
});
