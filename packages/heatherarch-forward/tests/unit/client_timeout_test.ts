import assert from "node:assert/strict";
import { test } from "node:test";
import { computeClientTimeoutMs, computeWaitLimits } from "../../mod.ts";

test("a client times out after two seconds or four latency objectives, whichever is longer", () => {
  assert.equal(computeClientTimeoutMs(300), 1750);
  assert.equal(computeClientTimeoutMs(600), 2150);
});

test("a call waits from its arrival, and not beyond its deadline", () => {
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

test("a stream that was interrupted after seconds restarts its timeout and can be on time", () => {
  const limits = computeWaitLimits({
    arrivedAtMs: 1000,
    deadlineAtMs: 7000,
    aimMs: 600,
    interruptedAtMs: 4500,
  });
  assert.deepEqual(limits, { waitStartedAtMs: 4500, timeoutAtMs: 6650 });
});
