import assert from "node:assert/strict";
import { test } from "node:test";
import { computeCallerTimeoutMs, computeWaitLimits } from "../../mod.ts";

test("callers wait for two seconds or four aims, whichever is longer", () => {
  assert.equal(computeCallerTimeoutMs(300), 1750);
  assert.equal(computeCallerTimeoutMs(600), 2150);
});

test("a call waits from its arrival, and not beyond its end", () => {
  const call = { arrivedAtMs: 1000, deadlineAtMs: 7000, aimMs: 600 };
  assert.deepEqual(computeWaitLimits(call), {
    waitStartedAtMs: 1000,
    timeoutAtMs: 3150,
  });
  assert.equal(
    computeWaitLimits({ ...call, deadlineAtMs: 2000 }).timeoutAtMs,
    2000,
  );
});

test("a stream that broke off after seconds is read again as one that can be on time", () => {
  const limits = computeWaitLimits({
    arrivedAtMs: 1000,
    deadlineAtMs: 7000,
    aimMs: 600,
    interruptedAtMs: 4500,
  });
  assert.deepEqual(limits, { waitStartedAtMs: 4500, timeoutAtMs: 6650 });
});
