import assert from "node:assert/strict";
import { test } from "node:test";
import { isWorthWaiting, predictDecodeReadyMs } from "../../mod.ts";

const ROLE_CHANGE_MS = 3000;

test("the engine that began to change first is expected first", () => {
  assert.equal(predictDecodeReadyMs([1000, 2000], ROLE_CHANGE_MS, 2000), 2500);
  assert.equal(predictDecodeReadyMs([1000], ROLE_CHANGE_MS, 9000), 0);
  assert.equal(predictDecodeReadyMs([], ROLE_CHANGE_MS, 0), undefined);
});

test("a call waits where the engine comes before its caller leaves, and is refused otherwise", () => {
  assert.equal(isWorthWaiting(1500, 0, 300), true);
  assert.equal(isWorthWaiting(1500, 400, 300), false);
  assert.equal(isWorthWaiting(2000, 0, 300), false);
  assert.equal(isWorthWaiting(2000, 0, 600), true);
  assert.equal(isWorthWaiting(undefined, 0, 600), false);
});

test("an engine that is overdue is waited for as long as the caller is", () => {
  assert.equal(isWorthWaiting(0, 1700, 300), true);
  assert.equal(isWorthWaiting(0, 1800, 300), false);
});
