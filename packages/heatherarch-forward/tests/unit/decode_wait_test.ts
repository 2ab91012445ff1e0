import assert from "node:assert/strict";
import { test } from "node:test";
import { isWorthWaiting, predictDecodeReadyMs } from "../../mod.ts";

const ROLE_CHANGE_MS = 3000;

test("the engine whose role change began first is expected first", () => {
  assert.equal(predictDecodeReadyMs([1000, 2000], ROLE_CHANGE_MS, 2000), 2500);
  assert.equal(predictDecodeReadyMs([1000], ROLE_CHANGE_MS, 9000), 0);
  assert.equal(predictDecodeReadyMs([], ROLE_CHANGE_MS, 0), undefined);
});

test("a call waits only if the engine is ready before its client times out", () => {
  assert.equal(isWorthWaiting(1500, 0, 300), true);
  assert.equal(isWorthWaiting(1500, 400, 300), false);
  assert.equal(isWorthWaiting(2000, 0, 300), false);
  assert.equal(isWorthWaiting(2000, 0, 600), true);
  assert.equal(isWorthWaiting(undefined, 0, 600), false);
});

test("a call waits for an overdue engine until its client times out", () => {
  assert.equal(isWorthWaiting(0, 1700, 300), true);
  assert.equal(isWorthWaiting(0, 1800, 300), false);
});
