import assert from "node:assert/strict";
import { test } from "node:test";
import { TargetRateLimits } from "../../mod.ts";

test("a rate limit begins, changes and ends as responses say", () => {
  const limits = new TargetRateLimits();
  const record = (maxPerSecond: number | undefined, sentAtMs: number) =>
    limits.recordObservation("t", {
      maxPerSecond,
      sentAtMs,
      atMs: sentAtMs + 10,
    });
  assert.equal(record(undefined, 0), undefined);
  assert.equal(record(5, 100), "begun");
  assert.equal(record(5.2, 200), undefined);
  assert.equal(limits.getMaxPerSecond("t"), 5.2);
  assert.equal(record(3, 300), "changed");
  assert.equal(record(undefined, 400), "ended");
  assert.equal(limits.getMaxPerSecond("t"), undefined);
});

test("a response to a request from before the limit was named does not end it", () => {
  const limits = new TargetRateLimits();
  limits.recordObservation("t", { maxPerSecond: 5, sentAtMs: 0, atMs: 100 });
  const early = { maxPerSecond: undefined, sentAtMs: 90, atMs: 2000 };
  assert.equal(limits.recordObservation("t", early), undefined);
  assert.equal(limits.getMaxPerSecond("t"), 5);
});
