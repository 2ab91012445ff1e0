import assert from "node:assert/strict";
import { test } from "node:test";
import { formatRetryAfter } from "../../mod.ts";

// Guards against a delay of some milliseconds that is sent as 0, so that the client returns at once.
test("a delay is given in hundredths of a second, rounded up", () => {
  assert.equal(formatRetryAfter(1), "0.01");
  assert.equal(formatRetryAfter(10), "0.01");
  assert.equal(formatRetryAfter(1234), "1.24");
  assert.equal(formatRetryAfter(600_000), "600.00");
});
