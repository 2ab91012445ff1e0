import assert from "node:assert/strict";
import { test } from "node:test";
import { TargetFailures, TargetHealth } from "../../mod.ts";

test("an unreachable target is avoided for increasing but bounded times", () => {
  const health = new TargetHealth();
  assert.equal(health.recordOutcome("t", "unreachable", 0), true);
  assert.equal(health.isAvoided("t", 499), true);
  assert.equal(health.isAvoided("t", 500), false);
  health.recordOutcome("t", "unreachable", 600);
  assert.equal(health.isAvoided("t", 1500), true);
  for (let i = 0; i < 20; i++) health.recordOutcome("t", "unreachable", 2000);
  assert.equal(health.isAvoided("t", 2000 + 5001), false);
});

test("a target that fails one seventh of its calls is not avoided", () => {
  const health = new TargetHealth();
  for (let i = 0; i < 70; i++) {
    health.recordOutcome("t", i % 7 === 0 ? "failed" : "answered", i * 100);
    assert.equal(health.isAvoided("t", i * 100), false, `call ${i}`);
  }
});

test("a target that fails half of its calls is avoided", () => {
  const health = new TargetHealth();
  let avoided = 0;
  for (let i = 0; i < 40; i++) {
    health.recordOutcome("t", i % 2 === 0 ? "failed" : "answered", i * 100);
    if (health.isAvoided("t", i * 100)) avoided++;
  }
  assert.ok(avoided > 15, `${avoided} of 40`);
});

// Guards against an overload that moves from one engine to the next as all VMs avoid the busy one.
test("a target that declines requests is not failing for other VMs", () => {
  const failures = new TargetFailures();
  const health = new TargetHealth({ failures });
  for (let i = 0; i < 10; i++) health.recordOutcome("t", "declined", i);
  assert.equal(health.findFailing(["t", "u", "v"], 10).size, 0);
  assert.deepEqual(failures.listOwnRows(10), []);
  for (let i = 0; i < 3; i++) health.recordOutcome("t", "failed", 20 + i);
  assert.deepEqual([...health.findFailing(["t", "u", "v"], 30)], ["t"]);
});
