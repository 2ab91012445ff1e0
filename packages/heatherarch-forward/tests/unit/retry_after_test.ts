import assert from "node:assert/strict";
import { test } from "node:test";
import { computeRetryAfterMs } from "../../mod.ts";

const first = () => 0;
const last = () => 0.999;

test("who waited long in an overload comes back later than who was refused at once", () => {
  assert.equal(computeRetryAfterMs(0, 0, first), 200);
  assert.equal(computeRetryAfterMs(1800, 0, first), 900);
  assert.equal(computeRetryAfterMs(100, 700, first), 700);
});

test("callers refused together do not come back together", () => {
  assert.ok(computeRetryAfterMs(1800, 0, last) > 1300);
  assert.ok(computeRetryAfterMs(1800, 0, last) < 1350);
});

test("of callers refused in an overload of three seconds, fewer meet it again", () => {
  // One call each 10 ms waits 1.8 s in vain and is refused; the overload ends at 3 s.
  const refusedAt = Array.from({ length: 120 }, (_, i) => 1800 + i * 10);
  const countAgain = (waitedMs: number): number =>
    refusedAt.filter((atMs, i) => {
      const drawUnit = () => (i * 37 % 100) / 100;
      return atMs + computeRetryAfterMs(waitedMs, 0, drawUnit) < 3000;
    }).length;
  assert.ok(countAgain(1800) < countAgain(0) / 3, `${countAgain(1800)}`);
});
