import assert from "node:assert/strict";
import { test } from "node:test";
import { computeRetryAfterMs } from "../../mod.ts";

const drawLowest = () => 0;
const drawHighest = () => 0.999;

test("a client that waited long in an overload retries later than one that was refused at once", () => {
  assert.equal(computeRetryAfterMs(0, 0, drawLowest), 200);
  assert.equal(computeRetryAfterMs(1800, 0, drawLowest), 900);
  assert.equal(computeRetryAfterMs(100, 700, drawLowest), 700);
});

test("clients that are refused together do not retry together", () => {
  assert.ok(computeRetryAfterMs(1800, 0, drawHighest) > 1300);
  assert.ok(computeRetryAfterMs(1800, 0, drawHighest) < 1350);
});

test("fewer of the clients refused in an overload of three seconds retry while it lasts", () => {
  // Every 10 ms a call that has waited for 1.8 s is refused; the overload ends at 3 s.
  const refusedAtMs = Array.from({ length: 120 }, (_, i) => 1800 + i * 10);
  const countRetriesInOverload = (waitedMs: number): number =>
    refusedAtMs.filter((atMs, i) => {
      const drawUnit = () => (i * 37 % 100) / 100;
      return atMs + computeRetryAfterMs(waitedMs, 0, drawUnit) < 3000;
    }).length;
  assert.ok(
    countRetriesInOverload(1800) < countRetriesInOverload(0) / 3,
    `${countRetriesInOverload(1800)}`,
  );
});
